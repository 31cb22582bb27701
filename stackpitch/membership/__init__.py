"""Where a gateway's view of the fleet comes from, how it changes, and what is left of it after a crash."""
