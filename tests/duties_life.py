"""Random lives of voters and candidates in simulated time, with the real pure modules: calls that are lost, late or
repeated, pauses, crashes, files lost, clocks that run apart. The checks look from outside: true time, and a receiver.

Bugs put in on purpose (`BUGS`) show that a breach would be found.
"""

import heapq
import random

from stackpitch.duties.calls import Answer, Stamp, encode_body
from stackpitch.duties.ownership import candidate as candidates
from stackpitch.duties.ownership.fence import Fence
from stackpitch.duties.ownership.joining import State, decide
from stackpitch.duties.ownership.lease import voter_lease_duration
from stackpitch.duties.ownership.rounds import Round
from stackpitch.duties.ownership.vacancy import VacancyNotifier, candidate_order
from stackpitch.duties.ownership.voter import VotingReplica
from stackpitch.duties.record.client import RecordClient

DUTY, LEASE, CALL, DRIFT = "weights", 10_000, 1_500, 0.01


class Node:
    """One gateway; every one is a candidate. `disk`: what is left of a voter after a crash. `rate`: of its clock."""

    def __init__(self, life, number):
        self.life, self.number = life, number
        self.rate, self.offset = life.chance.uniform(1 - DRIFT, 1 + DRIFT), life.chance.randrange(10**6)
        self.disk, self.serial, self.up, self.until = {}, 0, False, 0
        self.known_serials = {}
        self.epoch = 0  # starts of the process
        self.fence = Fence()
        self.blank = True

    def now(self):
        return int(self.life.time * self.rate) + self.offset

    def start(self):
        life, self.up, self.epoch = self.life, True, self.epoch + 1
        self.fence = Fence()  # soft at gateways that keep no file
        self.candidate = candidates.Candidate(self.number, life.chance.getrandbits(48), 0, life.voters, LEASE)
        self.keeping, self.value, self.joined = None, None, False
        self.voter = VotingReplica(
            LEASE, DRIFT, self.now() + (0 if "hasty" in life.bugs else voter_lease_duration(LEASE, DRIFT))
        )
        self.vacancy, self.vacant = (
            VacancyNotifier(candidate_order(DUTY, len(life.nodes) or life.size)),
            False,
        )
        if self.number in life.voters:
            self.join()

    def state(self, asker):
        return State(0, self.joined, self.blank and not self.joined, self.serial, 0, dict(self.disk))

    def join(self):
        epoch, heard = self.epoch, {}

        def done():
            if not self.up or self.epoch != epoch or self.joined:
                return
            found = decide(self.life.voters, self.number, 0, self.state(0), heard)
            if found.promises is None:
                self.later(2_000, self.join)
                return
            if self.blank:
                self.voter.silent_until = self.now() + voter_lease_duration(LEASE, DRIFT)
            self.disk, self.blank, self.joined = dict(found.promises), False, True
            self.voter.promises = dict(found.promises)
            self.tell()

        for number in self.life.voters:
            if number != self.number:
                self.life.call(
                    self,
                    number,
                    lambda node: node.state(self.number),
                    lambda answer, number=number: answer and heard.update({number: answer}),
                )
        self.later(2 * CALL, done)

    def tell(self):
        """Whom a voter tells of a vacancy."""
        now = self.now()
        if self.voter.is_vacant(now, DUTY):
            if not self.vacant:
                self.vacancy.start(now, None)
            for number in self.vacancy.next_candidates(now):
                self.life.call(
                    self,
                    number,
                    lambda node: node.told(self.voter.promise_of(DUTY).stamp),
                    lambda answer: None,
                )
        self.vacant = self.voter.is_vacant(now, DUTY)
        self.later(300, self.tell)

    def later(self, delay, call):
        epoch = self.epoch
        self.life.at(
            self.life.time + delay, self, lambda: call() if self.up and self.epoch == epoch else None
        )

    # As a voter.

    def vote(self, kind, stamp, body, renewal):
        if not self.joined:
            return Answer("not voting yet")
        now = self.now()
        answer = {
            "would": lambda: self.voter.pre_vote(now, DUTY, stamp, LEASE),
            "lease": lambda: self.voter.grant(now, DUTY, stamp, LEASE, renewal),
            "release": lambda: self.voter.release(now, DUTY, stamp),
            "read": lambda: self.voter.read(DUTY, stamp),
            "write": lambda: self.voter.write(DUTY, stamp, body),
        }[kind]()
        if self.voter.unsaved and not ("no sync" in self.life.bugs and self.life.chance.random() < 0.9):
            self.disk, self.serial = dict(self.voter.promises), self.serial + 1
            self.voter.unsaved.clear()
        return answer

    # As a candidate and owner.

    def told(self, known):
        self.candidate.observe_stamp(known)
        self.send(self.candidate.campaign(self.now()))
        return True

    def send(self, asked, body=None, then=None):
        for voter in asked.voters if asked else ():
            self.life.call(
                self,
                voter,
                lambda node: node.vote(asked.kind, asked.stamp, body, asked.renewal),
                lambda answer, voter=voter: self.heard(asked, voter, answer, then),
            )

    def heard(self, asked, voter, answer, then):
        if asked.kind in ("read", "write"):
            won = asked.won
            asked.record(voter, answer)
            if asked.won and not won and asked.stamp == self.candidate.stamp:
                then()
            return
        before = self.candidate.stage
        self.send(self.candidate.record_answer(self.now(), asked, voter, answer))
        if before != "owner" and self.candidate.stage == "owner":
            self.owns(asked)

    def owns(self, asked):
        stamp, life = self.candidate.stamp, self.life
        if "late lease" in life.bugs:
            self.candidate.lease_until = self.now() + 2 * LEASE
        life.wins(self, stamp)
        self.keeping, self.value = RecordClient(DUTY, stamp, life.voters), None
        read = self.keeping.read_round(self.now())
        committed = life.committed

        def found():
            self.keeping.finish_read(read)
            if "no write-back" in life.bugs:
                self.keeping.finish_write(self.keeping.pending)
                self.ready(committed)
            else:
                self.write(lambda: self.ready(committed))

        self.send(read, None, found)
        self.renew(stamp)
        self.act(stamp)

    def ready(self, committed):
        self.value = int(self.keeping.current.value or b"0")
        assert self.value >= committed, (
            f"a record that a majority had was lost: {committed}, found {self.value}"
        )
        self.life.committed = max(self.life.committed, self.value)  # whoever has read it acts by it
        stamp = self.candidate.stamp
        self.later(self.life.chance.randrange(0, 2 * LEASE), lambda: self.work(stamp))

    def write(self, then):
        wanted, asked = self.keeping.pending, self.keeping.write_round(self.now())
        if wanted is not None and self.looks(asked.stamp):

            def done():
                if self.keeping.pending is wanted:
                    self.keeping.finish_write(wanted)
                    then()

            self.send(asked, wanted, done)
            self.later(CALL, lambda: self.keeping.pending is wanted and self.write(then))

    def looks(self, stamp):
        return self.candidate.stamp == stamp and self.candidate.holds_lease(self.now())

    def work(self, stamp):
        """Counts up; each count that a majority has is never forgotten."""
        if self.looks(stamp) and self.keeping.stamp == stamp:
            value = self.value + 1
            self.keeping.set_pending(b"%d" % value)

            def done():
                self.value = value
                self.life.committed = max(self.life.committed, value)
                self.later(self.life.chance.randrange(100, 3_000), lambda: self.work(stamp))

            self.write(done)

    def renew(self, stamp):
        if self.candidate.stamp != stamp:
            return
        if not self.candidate.holds_lease(self.now()):
            self.send(self.candidate.step_down(self.now(), "its lease ran out"))
            return
        self.send(self.candidate.renew(self.now()))
        self.later(LEASE // 3, lambda: self.renew(stamp))

    def act(self, stamp):
        """An effect at another gateway; a pause may come between the look and the send, as calls may take long."""
        if self.looks(stamp):
            number = self.life.chance.randrange(len(self.life.nodes))
            self.life.call(self, number, lambda node: node.takes(stamp), lambda answer: None)
            self.later(self.life.chance.randrange(500, 2_000), lambda: self.act(stamp))

    def takes(self, stamp):
        admits = "no fence" in self.life.bugs or self.fence.admits(DUTY, stamp)
        if admits:
            newest = self.life.taken.get((self.number, self.epoch), Stamp())
            assert stamp.term >= newest.term, f"gateway {self.number} took {stamp.term} after {newest.term}"
            assert stamp.term > newest.term or stamp == newest or not newest.term, "one term, two starts"
            self.life.taken[self.number, self.epoch] = stamp
        return admits


class Life:
    def __init__(self, seed, voters, size, bugs=()):
        self.chance, self.bugs, self.time, self.count = random.Random(seed), bugs, 0, 0
        self.voters, self.size, self.nodes = tuple(range(voters)), size, []
        self.heap, self.committed, self.taken, self.won, self.owners = [], 0, {}, {}, 0
        self.calm = False
        self.nodes = [Node(self, number) for number in range(size)]

    def at(self, when, node, call):
        self.count += 1
        heapq.heappush(self.heap, (int(when), self.count, node, call))

    def call(self, sender, number, ask, then):
        """Lost, late or repeated, each way; no answer in time is None."""
        node, epoch, answered = self.nodes[number], sender.epoch, []

        def back(answer):
            if not answered and sender.up and sender.epoch == epoch:
                answered.append(True)
                then(answer)

        def arrive():
            if node.up:
                answer = ask(node)
                if not self.lost(node, sender):
                    self.at(self.time + self.delay(), sender, lambda: back(answer))

        for _ in range(1 + (self.chance.random() < 0.05 and not self.calm)):
            if not self.lost(sender, node):
                self.at(self.time + self.delay(), node, arrive)
        self.at(self.time + CALL, sender, lambda: back(None))

    def lost(self, one, other):
        cut = one is not other and (one.number, other.number) in self.cuts
        return not self.calm and one is not other and (cut or self.chance.random() < 0.05)

    def delay(self):
        return (
            self.chance.randrange(2, 300)
            if self.calm or self.chance.random() < 0.97
            else self.chance.randrange(300, 4 * LEASE)
        )

    def wins(self, node, stamp):
        assert self.won.setdefault(stamp.term, stamp) == stamp, "one term was won by two starts"
        self.owners += 1
        for other in self.nodes:
            assert other is node or not (other.up and other.candidate.holds_lease(other.now())), (
                "two leases at one time"
            )

    def trouble(self):
        if self.calm:
            return
        node, what = self.chance.choice(self.nodes), self.chance.random()
        if what < 0.3 and node.up:
            node.until = self.time + self.chance.randrange(1_000, 3 * LEASE)  # stopped
        elif what < 0.55 and node.up:
            node.up = False
            others = sum(
                not one.blank and one.joined for one in self.nodes[: len(self.voters)] if one is not node
            )
            if node.number in self.voters and self.chance.random() < 0.3 and others > len(self.voters) // 2:
                node.disk, node.blank, node.serial = {}, True, 0
            if "forgets" in self.bugs and node.number in self.voters:
                node.disk = {}
            self.at(
                self.time + self.chance.choice((200, 500, LEASE, 2 * LEASE)),
                None,
                lambda: node.up or node.start(),
            )
        elif what < 0.75:
            self.cuts = {
                (one, other)
                for one in range(self.size)
                for other in range(self.size)
                if self.chance.random() < 0.25
            }
        else:
            self.cuts = set()
        self.at(self.time + self.chance.randrange(500, 2 * LEASE), None, self.trouble)

    def run(self, length=60 * LEASE):
        self.cuts = set()
        for node in self.nodes:
            node.start()
        self.at(self.time + 2 * LEASE, None, self.trouble)
        self.at(length, None, lambda: setattr(self, "calm", True))
        while self.heap and self.time < length + 12 * LEASE:
            when, _, node, call = heapq.heappop(self.heap)
            self.time = max(self.time, when)
            if node is not None and node.until > self.time:
                self.at(
                    node.until, node, call
                )  # its process is stopped: it goes on with all of it when woken
            else:
                call()
        return [node for node in self.nodes if node.up and node.candidate.holds_lease(node.now())]


__all__ = ["DUTY", "LEASE", "Life", "Round", "encode_body"]
