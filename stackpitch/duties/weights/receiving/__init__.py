"""The receiving side of a gateway: which pieces it has, what it may fetch from whom now, and the fetching itself."""
