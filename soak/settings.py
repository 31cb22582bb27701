"""The settings that the gateways of a run get, drawn from its plan. Times in seconds unless a name says otherwise."""

from soak.clients import TENANTS
from soak.plan import Plan

QUOTA_PER_S = 1000.0  # of each tenant
LIMITS = {"chat": 4.0, "pay": 4.0, "order": 9.0}  # seconds, before the plan's part of them
LONGEST_DEADLINE = max(LIMITS.values())
RETRY_AFTERS = (1100, 1000)  # milliseconds; the latter is in force but for moments
UNREPEATABLE = frozenset({"order"})  # classes whose effect must not happen twice
FLAVORS = ("r", "w")


def limits(plan: Plan) -> dict[str, float]:
    """The longest deadline of each class, in seconds."""
    return {name: limit * plan.deadline_part for name, limit in LIMITS.items()}


def settings(plan: Plan) -> dict[str, object]:
    deadlines = {name: round(limit * 1000) for name, limit in limits(plan).items()}
    pressure = plan.pressure
    keyed = {"dedupScope": pressure.scope, "keyTtlMs": pressure.window_ms}
    names = zip(TENANTS, pressure.tenants, strict=False)
    return {
        "tenants": [{"name": name, "share": share, "quotaPerS": QUOTA_PER_S} for name, share in names],
        "balancers": plan.gateways,
        "me": 0,
        "zone": "a",
        "models": list(FLAVORS),
        "bounds": {
            "connIdleMs": 6000,
            "connectTimeoutMs": 250,
            "maxAttempts": pressure.max_attempts,
            "retryAfter": pressure.retry_after,
            "maxRetryAfterMs": RETRY_AFTERS[-1],
            "secondCopies": plan.second_copies,
            "cancel": True,
        },
        "classes": [
            {
                "name": "chat",
                "effect": pressure.chat_effect,
                **keyed,
                "aimMs": 1000,
                "deadlineMs": deadlines["chat"],
                "worth": 1,
            },
            {
                "name": "pay",
                "effect": "guarded",
                **keyed,
                "aimMs": 1000,
                "deadlineMs": deadlines["pay"],
                "worth": 2,
            },
            {
                "name": "order",
                "effect": "single_shot",
                "aimMs": 2500,
                "deadlineMs": deadlines["order"],
                "worth": 3,
            },
        ],
        "guarantees": {
            "coldFrom": 0.1,
            "warmUpMs": 5000,
            "fallMultiple": 1.5,
            "fallMs": 2000,
            "drainGraceMs": 500,
        },
        "extra": {
            "aimUsPer1000PromptTokens": [4e4, 4e4],
            "dutyByKind": ["read", "write"],
            "kvTokens": [100000, 100000],
            "localRead": True,
            "releaseMs": plan.release_ms,
            "tokenAimMs": [60, 60],
        },
        "report": {"fields": ["utilization", "backlog", "x0"], "via": "piggyback"},
    }
