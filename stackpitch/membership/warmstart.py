"""What a gateway that starts again may use of what it knew before, and for how long. Pure: no I/O, no clock.

Three things are worth knowing at once: which server has which session, how long legs usually wait, and which servers
were shunned. Each is trusted for a time of its own, counted from when it was noted down; after that, knowing nothing
is better. A server that has started anew since has lost its sessions.
"""

import msgspec

from stackpitch.brain import Brain, Kept
from stackpitch.interface import Time

MS, SECOND = 10, 10_000
OWNERS_FOR, PACES_FOR, HEALTH_FOR = 20 * SECOND, 60 * SECOND, 4 * SECOND
SESSIONS = 4_000  # the latest ones; more would cost more to write down than they bring


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A session and its server: `age` since its last turn, tokens kept and those of the turn before."""

    session: str
    server: str
    started_unix_ms: int | None
    age: Time
    tok: int
    earlier: int


class Snapshot(msgspec.Struct, frozen=True):
    owners: tuple[Owner, ...]
    usual: dict[str, float]  # usual wait by role
    shunned: dict[str, tuple[int, Time]]  # server to strikes and time left


def capture(brain: Brain, now: Time, epoch: Time) -> Snapshot:
    """`epoch`: Unix time, in tenths of a millisecond, of the module's clock 0."""
    owners = []
    for session in list(brain.owner.table)[-SESSIONS:]:
        kept = brain.owner.table[session]
        started = None if kept.started is None else (kept.started + epoch) // 10
        owners.append(Owner(session, kept.seat.server.name, started, now - kept.at, kept.tok, kept.earlier))
    shunned = {one.server.name: (one.strikes, one.shunned_until - now) for one in brain.fleet.seats.values()
               if one.shunned_until > now}
    return Snapshot(tuple(owners), {str(role): usual for role, usual in brain.fleet.usual.items()}, shunned)


def restore(brain: Brain, snapshot: Snapshot, now: Time, epoch: Time, elapsed: Time) -> dict[str, int]:
    """Puts into a module that has its first list what may still be trusted; gives how much of each."""
    found = {"owners": 0, "paces": 0, "shunned": 0}
    if elapsed < 0:
        return found  # a clock was set back: nothing is known of its age
    seats = {one.server.name: one for one in brain.fleet.seats.values()}
    if elapsed < OWNERS_FOR:
        for owner in snapshot.owners:
            seat = seats.get(owner.server)
            if seat is None or seat.server.state != "ready":
                continue
            started = None if seat.server.started is None else (seat.server.started + epoch) // 10
            if started != owner.started_unix_ms or owner.session in brain.owner.table:
                continue
            kept = Kept.__new__(Kept)
            kept.seat, kept.started, kept.at = seat, seat.server.started, now - owner.age - elapsed
            kept.earlier, kept.tok, kept.flow = owner.earlier, owner.tok, brain.fleet.flow(seat)
            brain.owner.table[owner.session] = kept
            found["owners"] += 1
    if elapsed < PACES_FOR:
        for role in brain.fleet.usual:
            if role in snapshot.usual:
                brain.fleet.usual[role] = snapshot.usual[role]
                found["paces"] += 1
    if elapsed < HEALTH_FOR:
        for name, (strikes, left) in snapshot.shunned.items():
            if name in seats and left > elapsed:
                seats[name].strikes, seats[name].shunned_until = strikes, now + left - elapsed
                found["shunned"] += 1
    return found
