"""Plans who may fetch which pieces from where, at what rate, until when: wanted set, links and reports in, grants out. Pure."""
