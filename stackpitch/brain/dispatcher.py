"""The only place that sends legs and refuses generations; enforces the rules on effects and answers."""

from stackpitch.brain.fleet import Fleet
from stackpitch.brain.held_state import HeldState
from stackpitch.brain.server_state import ServerState
from stackpitch.interface import MS, Generation, Product, RefusalReason, Role, Server, Time


def remembered_until(first_sent: Time, product: Product) -> Time:
    """Until when servers recognise a repeat of a deduplicated generation, by when its first leg was sent."""
    # A tenth of the window is kept for the time on the network and for clocks that differ.
    return first_sent + product.dedup_window * 9 // 10


class Dispatcher:
    """Sends legs where the rules allow it, and gives the refusals."""

    # Whether a generation without legs may be sent to all candidates or to none of them, so that one check
    # stands for all.
    UNIFORM_CHECK = True

    def __init__(self, fleet: Fleet, max_legs: int, max_retry_after: Time, held_state: HeldState) -> None:
        self.gateway, self.fleet, self.held_state = fleet.gateway, fleet, held_state
        self.max_legs, self.max_retry_after = max_legs, max_retry_after

    may_have_run = staticmethod(Generation.may_have_run)

    def may_send(self, now: Time, gen: Generation, server: Server) -> bool:
        """Whether the rules allow a leg of the generation at the server now."""
        if gen.over or len(gen.legs) >= self.max_legs or server.state != "ready" or now >= gen.deadline:
            return False
        state = self.fleet.server_states[server]
        not_admitted = (
            self.fleet.is_cold(state, now) and state.admitted_gen is not gen and gen not in state.tok_by_gen
        )
        # Cold, and neither admitted the generation nor was planned for it; or an earlier leg there failed.
        if not_admitted or any(leg.server is server and leg.outcome != "read" for leg in gen.legs):
            return False
        ran, product = self.may_have_run(gen), gen.product
        if not ran or product.effect != "deduplicated":
            return not ran or product.effect == "idempotent"
        in_scope = all(
            product.scope == "all"
            or leg.server.zone == server.zone
            and (product.scope == "zone" or leg.server.cell == server.cell)
            for leg in ran
        )
        return in_scope and now < remembered_until(ran[0].sent, product)

    def candidates(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        """The usable servers of a role that the generation may be sent to. If a cold server admitted it, only
        that one: its admission slot is used up."""
        states = self.fleet.usable(role, now, gen)
        if gen.legs or not self.UNIFORM_CHECK or states and not self.may_send(now, gen, states[0].server):
            states = [state for state in states if self.may_send(now, gen, state.server)]
        return [state for state in states if state.admitted_gen is gen] or states

    def send(self, now: Time, gen: Generation, state: ServerState, limit: Time) -> None:
        """Sends a leg that times out after `limit` or at the generation's deadline."""
        state.waiting[self.gateway.send(gen, state.server, max(MS, min(limit, gen.deadline - now)))] = now

    def refuse(self, gen: Generation, reason: RefusalReason) -> None:
        """Refuses the generation unless it is over: throttles it where the client may retry without harm,
        otherwise terminates it. Releases what is held for it."""
        effect, scope = gen.product.effect, gen.product.scope
        safe = (
            effect == "idempotent" or (effect, scope) == ("deduplicated", "all") or not self.may_have_run(gen)
        )
        if not gen.over:
            gen.refusal_reason = reason
            self.gateway.throttle(gen, self.max_retry_after // 2) if safe else self.gateway.terminate(gen)
        self.held_state.release(gen)
