"""A stand-in for the network between gateways' admin ports: a listening port for each ordered pair, whole calls, faults.

A call of A to B takes two paths: its request from A to B, its answer from B to A. Faults lie on paths, so a cut of one
path alone makes a gateway that can send and not hear, or the reverse. What passed is recorded for the checker.
"""

from stackpitch.rehearse.network.run import run_network
from stackpitch.rehearse.network.settings import Link, NetworkSettings

__all__ = ["Link", "NetworkSettings", "run_network"]
