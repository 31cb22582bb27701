"""Leases with fencing tokens for coordinated tasks ("duties"), granted by a quorum of voting replicas.

A voting replica ("voter") is a gateway that takes part in the quorum. The gateway that holds a duty's
lease, its owner, acts under a term, which is the fencing token: receivers reject effects under older terms.
Pure logic: no I/O, no clock. `docs/design-duties.md` argues why two owners cannot damage each other's work.
"""
