"""Bandwidth grants: who may fetch which pieces, from where, at what rate, until when; expiry and rate limiting. Pure."""
