"""Passes events to the decision module: server lists, clients and legs as they come and go.

Nothing is decided here.
"""

from collections.abc import Sequence
from functools import partial

from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.host.base import HostBase
from stackpitch.gateway.outcomes import LegEnd
from stackpitch.gateway.permission import Act, AttemptState, Reason, start_denial
from stackpitch.gateway.trace import Step
from stackpitch.interface import Leg, Server, Time
from stackpitch.membership.entries import Entry
from stackpitch.preferences import RuledBrain

# Turns of the loop from an attempt's time-out to the attempt's end, if data for it came in the same turn.
TURNS_OF_A_TIMEOUT = 2


class EventDispatcher(HostBase):
    """The host's side towards the client listener, the legs and the server lists."""

    def apply_roster(self, version: int, entries: Sequence[Entry], current: bool = True) -> None:
        """Puts a complete server list in force.

        A server that is left out and has running legs stays until they have ended. `current`: the list is
        known to be up to date, unlike the one that is known at the start.
        """
        before = {
            server: self.roster.addresses[server] for server in self.pools if server in self.roster.addresses
        }
        servers = self.roster.apply(version, entries, current)
        for server, address in before.items():
            if self.roster.addresses.get(server) != address:
                self.connections.close(server)
        # Servers that were left out are already marked as gone: the module need not compare the lists.
        for brain in self.brains():
            self._notify(None, partial(self._notify_roster, brain, servers))
        self._forget_servers()
        self.metrics.roster_version.set(version)
        self.logger.info(
            "roster",
            version=version,
            servers=len(entries),
            draining=sum(entry.state == "draining" for entry in entries),
        )

    @staticmethod
    def _notify_roster(brain: RuledBrain, servers: list[Server], now: Time) -> None:
        brain.roster(now, servers, False)

    def roster_load_failed(self) -> None:
        """A list could not be used; the one in force stays."""
        self._notify(None, lambda now: self.brain.roster_failed(now))

    def _forget_servers(self) -> None:
        """Forgets servers that are gone and have no running leg."""
        busy = {
            leg.server
            for request in self.requests.values()
            for leg in request.gen.legs
            if leg.outcome is None
        }
        for server in [
            listed for listed in self.roster.addresses if listed.state == "gone" and listed not in busy
        ]:
            self.connections.close(server)
            self.roster.forget(server)

    # Called by the client listener.

    def request_arrived(self, request: ClientRequest) -> None:
        """A request was accepted."""
        gen = request.gen
        self.requests[gen] = request
        self.trace_step(request, Step.ARRIVED)
        self.metrics.generations_held.set(len(self.requests))
        request.watchdog = self.world.at(
            gen.deadline + self.bounds.watchdog, lambda: self._watchdog_due(request)
        )
        brain = self.brain
        self._notify(request, lambda now: brain.arrived(now, gen))
        if not gen.over and not gen.in_flight() and not brain.awaits_peer(gen):
            self.logger.error("module_kept_without_leg", generation=gen.name)
            self.terminate(gen)

    def client_departed(self, request: ClientRequest) -> None:
        """The client has disconnected.

        The leg whose stream it received is cancelled, and so are legs whose request is not completely
        written, as they would start for nobody; other legs run on to their outcome. A client that may
        only have half-closed its connection is owed a response.
        """
        if request.gen.over:
            return
        if request.fin_received and not request.streaming:
            request.refuse_half_closed()
        self.trace_step(request, Step.CLIENT_LEFT)
        request.gen.over = True
        request.detach_client()
        for leg, task in list(request.tasks.items()):
            if leg is request.serving or leg in request.unsent:
                task.cancel()
        brain = self.brain_for(request.gen)
        self._notify(request, lambda now: brain.departed(now, request.gen))
        self._forget_if_over(request)

    def _watchdog_due(self, request: ClientRequest, turns: int = TURNS_OF_A_TIMEOUT) -> None:
        """Lets an attempt's time-out that is due in the same turn go first.

        That happens if the process was not scheduled for a while. The module then decides on the
        response, and may be able to promise more. `turns`: of the loop, to wait for.
        """
        if turns:
            request.watchdog = self.world.at(
                self.world.now() + 1, lambda: self._watchdog_due(request, turns - 1)
            )
        else:
            self._answer_overdue(request)

    def _answer_overdue(self, request: ClientRequest) -> None:
        """Answers in time even if the module or the loop is late."""
        if not request.gen.over and not request.begun:
            self.logger.error("answered_by_host", generation=request.gen.name, legs=len(request.gen.legs))
            self.terminate(request.gen)

    def stop(self) -> None:
        """Answers what is still in progress at once, without saying that a retry is safe."""
        for request in list(self.requests.values()):
            if not request.gen.over:
                request.gen.over = True
                if request.begun:
                    request.fail_stream("stopping", "the gateway stops")
                else:
                    request.refuse(503, "stopping", "the gateway stops", again=False)
            for task in list(request.tasks.values()):
                task.cancel()
            self.backend.release(request)

    # Called by the legs.

    def action_denied(self, act: Act, reason: Reason, leg: Leg) -> None:
        """Counts an action that was not permitted; logs an error if the module must not ask for it."""
        if (request := self.requests.get(leg.gen)) is not None:
            self.trace_step(request, Step.FORBIDDEN, f"{act} {reason} {leg.server.name}")
        if self.denials.record(act, reason):
            self.logger.error(
                "invariant_broken", act=act, reason=reason, generation=leg.gen.name, server=leg.server.name
            )

    def leg_written(self, request: ClientRequest, leg: Leg) -> None:
        """The last byte of the leg's request has been written."""
        request.unsent.discard(leg)
        self.trace_step(request, Step.WRITTEN, leg.server.name)

    def leg_started(self, request: ClientRequest, leg: Leg, fetched: bool) -> bool:
        """The leg's first token has arrived; False if it is no longer wanted.

        `fetched`: the writer has fetched the KV state that it was sent to.
        """
        task = request.tasks.get(leg)
        cancelled = (
            task is not None and task.cancelled_scope() is not None
        )  # in the very turn in which the token came
        now = AttemptState(self.world.now(), cancelled=cancelled, serving=request.serving)
        if (reason := start_denial(leg, now)) is not None:
            self.action_denied(Act.START, reason, leg)
            return False
        leg.streaming, request.serving = True, leg
        self.trace_step(request, Step.STARTED, leg.server.name)
        request.begin(self.world.now())
        self.backend.stream_started(request, leg, fetched)
        self.counters.first_token_received(self.world.now(), leg)
        brain = self.brain_for(leg.gen)
        self._notify(request, lambda now: brain.stream_started(now, leg))
        self.metrics.first_token.labels(request.gen.product.name).observe(
            (self.world.now() - request.gen.arrived) / 10_000
        )
        return True

    def leg_ended(self, request: ClientRequest, leg: Leg, end: LegEnd) -> None:
        """The leg has its outcome."""
        gen = request.gen
        leg.outcome = end.outcome
        self.trace_step(request, Step.ENDED, f"{leg.server.name} {end.outcome} {end.why}")
        request.tasks.pop(leg, None)
        request.unsent.discard(leg)
        self.metrics.legs.labels(leg.server.role, end.outcome).inc()
        if end.outcome not in ("read", "streamed"):
            request.leg_errors[leg.number] = end.why
        if end.outcome == "error":
            self.logger.warning("bad_answer", server=leg.server.name, generation=gen.name, why=end.why)
        if leg is request.serving and not gen.over:
            gen.over = True
            if end.outcome == "streamed":
                request.finish()
            else:
                request.fail_stream("stream_broken", f"the stream broke: {end.why or end.outcome}")
        self.plausibility.server = leg.server.name
        cached_tok = self.plausibility.cached_tok(end.cached_tok, gen.prompt_tok)
        self.counters.leg_ended(self.world.now(), leg, cached_tok)
        brain = self.brain_for(gen)
        self._notify(
            request, lambda now: brain.ended(now, leg, cached_tok, end.no_state, self._parse_report(end))
        )
        if (doubted := self.plausibility.due_log_fields(self.world.now())) is not None:
            self.logger.warning("implausible", **doubted)
        if not gen.over and not gen.in_flight():
            self.logger.error("module_kept_without_leg", generation=gen.name, outcome=end.outcome)
            self.terminate(gen)
        self._forget_if_over(request)
        if leg.server.state == "gone":
            self._forget_servers()
