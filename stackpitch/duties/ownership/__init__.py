"""Who may do a duty's work: voters grant terms with leases, receivers turn older terms down. Pure: no I/O, no clock.

`docs/design-duties.md` has the argument why no two owners can do harm to each other's work.
"""
