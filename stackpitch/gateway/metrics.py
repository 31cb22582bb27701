"""Prometheus metrics of one gateway. Labels are products, outcomes and modes, which are few and bounded."""

from collections.abc import Callable
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

STATE_HELD_S = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.5, 2.0)
FIRST_TOKEN_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


def _count(states: Callable[[], dict[str, int]], state: str) -> float:
    return states()[state]


class Metrics:
    """All metrics of a gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.generations = Counter(
            "stackpitch_generations",
            "Final answers, and clients that departed",
            ["product", "end"],
            registry=registry,
        )
        self.legs = Counter("stackpitch_legs", "Legs by outcome", ["role", "outcome"], registry=registry)
        self.first_token = Histogram(
            "stackpitch_first_token_seconds",
            "From arrival to the first token relayed",
            ["product"],
            buckets=FIRST_TOKEN_S,
            registry=registry,
        )
        self.refused = Counter(
            "stackpitch_refused",
            "What was not taken at the door",
            ["why"],
            registry=registry,
        )
        self.releases = Counter("stackpitch_releases", "States and places let go", ["end"], registry=registry)
        self.releases_asked = Counter(
            "stackpitch_releases_asked",
            "Releases that the module asked for",
            ["why"],
            registry=registry,
        )
        self.state_held = Histogram(
            "stackpitch_state_held_seconds",
            "From the end of a request's read to the answer of the worker that released its state",
            buckets=STATE_HELD_S,
            registry=registry,
        )
        self.mode_changes = Counter(
            "stackpitch_log_lines", "Mode changes that the module logged", ["mode"], registry=registry
        )
        self.gossip_messages = Counter(
            "stackpitch_peer_words",
            "Words between gateways by what became of them",
            ["end"],
            registry=registry,
        )
        self.long_steps = Counter("stackpitch_hogs", "Steps of one task over the limit", registry=registry)
        self.relayed_bytes = Gauge(
            "stackpitch_relayed_bytes", "Bytes of streams passed on", registry=registry
        )
        self.generations_held = Gauge(
            "stackpitch_generations_held",
            "Taken and not over, or with a leg out",
            registry=registry,
        )
        self.connections = Gauge("stackpitch_connections", "Open connections", ["side"], registry=registry)
        self.roster_version = Gauge(
            "stackpitch_roster_version", "Version of the list in force", registry=registry
        )
        self.rosters = Counter(
            "stackpitch_lists", "Lists by what became of them", ["word"], registry=registry
        )
        self.store_failing = Gauge(
            "stackpitch_store_trouble", "1 while lists can't be kept", registry=registry
        )
        self.rosters_rejected = Counter(
            "stackpitch_rosters_rejected", "Lists that were not applied", registry=registry
        )

    def register_weights(self, states: Callable[[], dict[str, int]], failing: Callable[[], bool]) -> Counter:
        """Adds the metrics of model weights at this gateway's site, where the settings name them.

        Returns the counter of errors by their name in the log. `failing`: whether weights can't be written.
        """
        registry = self.registry
        versions = Gauge(
            "stackpitch_weights_versions", "Versions of weights here by state", ["state"], registry=registry
        )
        for state in states():
            versions.labels(state).set_function(partial(_count, states, state))
        Gauge(
            "stackpitch_weights_disk_trouble", "1 while weights can't be written", registry=registry
        ).set_function(lambda: float(failing()))
        return Counter(
            "stackpitch_weights_errors",
            "Errors of weights by their words in the log",
            ["word"],
            registry=registry,
        )

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)
