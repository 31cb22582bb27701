"""The one place that sends and answers; keeps the rules on effects and answers."""

from stackpitch.brain.fleet import Fleet
from stackpitch.brain.held_state import HeldState
from stackpitch.brain.server_state import ServerState
from stackpitch.interface import MS, Generation, RefusalReason, Product, Role, Server, Time


def remembered_until(first: Time, product: Product) -> Time:  # a tenth is for the way there and clocks
    return first + product.dedup_window * 9 // 10


class Dispatcher:
    UNIFORM_CHECK = True  # whether servers that the generation has met none of may all be sent to, or none

    def __init__(self, fleet: Fleet, max_legs: int, max_retry_after: Time, holds: HeldState) -> None:
        self.gateway, self.fleet, self.held_state = fleet.gateway, fleet, holds
        self.max_legs, self.max_retry_after = max_legs, max_retry_after

    may_have_run = staticmethod(Generation.may_have_run)

    def may_send(self, now: Time, gen: Generation, server: Server) -> bool:
        if gen.over or len(gen.legs) >= self.max_legs or server.state != "ready" or now >= gen.deadline:
            return False
        seat = self.fleet.server_states[server]
        cold = self.fleet.is_cold(seat, now) and seat.admitted_gen is not gen and gen not in seat.tok
        if cold or any(leg.server is server and leg.outcome != "read" for leg in gen.legs):
            return False  # not drawn or chosen before; or tried in vain
        ran, product = self.may_have_run(gen), gen.product
        if not ran or product.effect != "deduplicated":
            return not ran or product.effect == "idempotent"
        same = all(
            product.scope == "all"
            or leg.server.zone == server.zone
            and (product.scope == "zone" or leg.server.cell == server.cell)
            for leg in ran
        )
        return same and now < remembered_until(ran[0].sent, product)

    def candidates(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        seats = self.fleet.usable(role, now, gen)
        if gen.legs or not self.UNIFORM_CHECK or seats and not self.may_send(now, gen, seats[0].server):
            seats = [one for one in seats if self.may_send(now, gen, one.server)]
        return [one for one in seats if one.admitted_gen is gen] or seats  # a cold server's turn is taken

    def send(self, now: Time, gen: Generation, seat: ServerState, limit: Time) -> None:
        seat.waiting[self.gateway.send(gen, seat.server, max(MS, min(limit, gen.deadline - now)))] = now

    def refuse(self, gen: Generation, why: RefusalReason) -> None:
        """Gives up: throttled where the client may try again without harm, else terminated."""
        effect, scope = gen.product.effect, gen.product.scope
        safe = (
            effect == "idempotent" or (effect, scope) == ("deduplicated", "all") or not self.may_have_run(gen)
        )
        if not gen.over:
            gen.refusal_reason = why
            self.gateway.throttle(gen, self.max_retry_after // 2) if safe else self.gateway.terminate(gen)
        self.held_state.release(gen)
