"""Voters, candidates and records without I/O: scenes of one voter and of its start, random lives of many, files cut short."""

import ast
import errno
from pathlib import Path

import pytest
from duties_life import Life
from play import scenarios
from test_membership import Cut, CutFiles

from stackpitch.duties.calls import Answer, Stamp
from stackpitch.duties.ownership.candidate import Candidate
from stackpitch.duties.ownership.errors import FileOfAnother, FileTaken, FileUnreadable
from stackpitch.duties.ownership.joining import State, decide
from stackpitch.duties.ownership.pacing import AnnouncementSchedule
from stackpitch.duties.ownership.promise_store import Identity, PromiseStore
from stackpitch.duties.ownership.terms import format_term, next_term, owner_of
from stackpitch.duties.ownership.vacancy import VacancyNotifier, candidate_order
from stackpitch.duties.ownership.voter import Promise, VotingReplica
from stackpitch.duties.record.client import decode_value
from stackpitch.duties.record.register import RecordValue
from stackpitch.loop import MS, RealFiles

ALL = scenarios(Path(__file__).parent / "scenarios_duties")


def stamp(word):
    count, start = word.split(".")[:2]
    return Stamp(int(count) << 10, ord(start))


def shown(one):
    return f"{one.term >> 10}.{chr(one.start)}"


class VoterScene:
    """`at 1000` the clock in ms; `lease 2.b > WORD …`: term 2 by the process started as b; what the answer has to hold.
    `lease 2.b #3`: the third of its term's leases; left out, the next. `vacant > yes`: whether somebody new would be granted it."""

    def __init__(self):
        self.now, self.voter, self.renewals = 0, VotingReplica(3000 * MS, 0.01, 0), {}

    def line(self, line):
        text_, _, wanted = line.partition(" > ")
        kind, *words = text_.split()
        if kind == "at":
            self.now = int(words[0]) * MS
        elif kind == "quiet":
            self.voter.silent_until = int(words[0]) * MS
        elif kind == "vacant":
            assert ("yes" if self.voter.is_vacant(self.now, "d") else "no") == wanted, wanted
        elif kind == "promised":
            self.voter.promises["d"] = Promise(stamp(words[0]))
        else:
            self.said(kind, stamp(words[0]), words[1:], wanted.split())

    def said(self, kind, who, words, wanted):
        voter, renewal = self.voter, self.renewals.get(who, 0) + 1
        if words and words[0].startswith("#"):
            renewal = int(words.pop(0)[1:])
        lease = int(words[0]) * MS if words and kind == "lease" else 3000 * MS
        if kind == "write":
            value = b"x" * int(words[1][1:]) if words[1][0] == "+" else words[1].encode()
            answer = voter.write("d", who, RecordValue(who, int(words[0]), value))
        else:
            answer = {
                "lease": lambda: voter.grant(self.now, "d", who, lease, renewal),
                "would": lambda: voter.pre_vote(self.now, "d", who, lease),
                "release": lambda: voter.release(self.now, "d", who),
                "read": lambda: voter.read("d", who),
            }[kind]()
        if kind == "lease":
            self.renewals[who] = max(renewal, self.renewals.get(who, 0))
        said = (
            [*answer.word.split(), shown(answer.stamp)]
            if answer.word == "older term"
            else answer.word.split()
        )
        if answer.word == "leased":
            said.append(str(-(-voter.lease_remaining(self.now, "d", who) // MS)))
        if kind == "read" and answer.yes:
            kept = decode_value(answer)
            said.append(f"{shown(kept.stamp)}.{kept.version}={kept.value.decode()}" if kept.version else "-")
        assert said[: len(wanted)] == wanted, said


def promises(words):
    found = {}
    for word in words:
        if "=" in word and word.split("=")[0] not in ("seen", "generation"):
            duty, value = word.split("=")
            term = int(value.split(".")[0]) << 10
            found[duty] = Promise(Stamp(term, 1), RecordValue(Stamp(term, 1), int(value.split(".")[1])))
    return found


class JoiningScene:
    """`mine`/`heard N` and how that voter is: empty or its serial, joined, seen=, promises as duty=TERM.VERSION."""

    def __init__(self):
        self.voters, self.generation, self.mine, self.heard = (0,), 0, None, {}

    def state(self, words):
        facts = dict(word.split("=") for word in words if "=" in word)
        serial = next((int(word) for word in words if word.isdigit()), 0)
        return State(
            int(facts.get("generation", self.generation)),
            "joined" in words,
            "empty" in words,
            serial,
            int(facts.get("seen", 0)),
            promises(words),
        )

    def line(self, line):
        kind, *words = line.split()
        if kind == "voters":
            self.voters = tuple(range(int(words[0])))
        elif kind == "generation":
            self.generation = int(words[0])
        elif kind == "mine":
            self.mine = self.state(words)
        elif kind == "heard":
            self.heard[int(words[0])] = self.state(words[1:])
        else:
            found = decide(self.voters, 0, self.generation, self.mine, self.heard)
            assert found.outcome == words[0], found
            serials = [int(words.pop(1).split("=")[1]) for word in words[1:2] if word.startswith("serial=")]
            assert serials in ([], [found.serial]), found
            if words[1:]:
                assert found.promises == promises(words[1:]), found


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_scene(lines):
    scene = JoiningScene() if lines[0].startswith("voters") else VoterScene()
    for number, line in enumerate(lines, 1):
        try:
            scene.line(line)
        except AssertionError as wrong:
            raise AssertionError(f"line {number}, {line!r}: {wrong}") from None


def live(seed, bugs=()):
    life = Life(seed, 3 if seed % 2 else 5, 5 + seed % 3, bugs)
    return life, life.run()


def test_random_lives_keep_what_must_hold_and_end_with_one_owner():
    owners = 0
    for seed in range(40):
        life, end = live(seed)
        assert len(end) == 1, (seed, end)
        owners += life.owners
    assert owners > 300, "too little happened"


@pytest.mark.parametrize(
    "bug,first,said",
    [
        ("no sync", 0, "lost"),
        ("forgets", 0, "lost"),
        ("late lease", 0, "two leases"),
        ("no fence", 0, "took"),
        ("hasty", 65, "two leases"),
        ("no write-back", 120, "lost"),
    ],
)
def test_a_bug_put_in_on_purpose_is_found(bug, first, said):
    for seed in range(first, first + 250):
        try:
            live(seed, (bug,))
        except AssertionError as wrong:
            assert said in str(wrong)
            return
    raise AssertionError("not found")


def test_terms_rise_and_are_never_shared():
    term = 0
    for number in (3, 0, 1023, 3, 3):
        later = next_term(term, 0, number)
        assert later > term and owner_of(later) == number
        term = later
    assert format_term(next_term(term, 2, 7)) == "2.1.7" and next_term(term, 2, 7) > next_term(term, 0, 1023)


def test_a_campaign_that_was_lost_after_its_pre_vote_is_not_repeated_under_its_term():
    """Nobody had answered, so nobody told it a term; its release is still on its way and must not free a later lease."""
    candidate, voters = (
        Candidate(3, 7, 0, (0, 1, 2), 3000 * MS),
        [VotingReplica(3000 * MS, 0.01, 0) for _ in range(2)],
    )

    def campaign(now, answer):
        asked, then = candidate.campaign(now), None
        for number in (0, 1):
            then = candidate.record_answer(now, asked, number, Answer("yes")) or then
        for number in (0, 1):
            last = candidate.record_answer(now, then, number, answer(voters[number], then))
        return then, last

    _, release = campaign(0, lambda voter, asked: None)
    assert release.kind == "release" and candidate.stage == "idle"
    won, _ = campaign(100, lambda voter, asked: voter.grant(100, "d", asked.stamp, 3000 * MS, asked.renewal))
    assert candidate.stage == "owner" and won.stamp.term > release.stamp.term
    for voter in voters:
        voter.release(200, "d", release.stamp)
    assert not any(voter.is_vacant(200, "d") for voter in voters), "the owner's lease is still running"


@pytest.mark.parametrize("candidates", [1, 5, 230, 1024])
def test_a_vacancy_is_told_to_all_in_the_end_and_never_to_many_at_once(candidates):
    vacancy, now, told, rounds = VacancyNotifier(candidate_order("weights", candidates)), 0, [], 0
    vacancy.start(0, previous_holder=0)
    while len(set(told)) < candidates:
        some = vacancy.next_candidates(now)
        assert len(some) <= 16 and (len(told) or some[0] != 0 or candidates == 1), (
            "whose lease ran out is told last"
        )
        told += some
        now, rounds = vacancy.due, rounds + 1
    assert now < 10_000 * 10 and len(told) < candidates + 16
    if candidates == 230:
        firsts = {candidate_order(f"duty {number}", candidates)[0] for number in range(40)}
        assert len(firsts) > 30, "duties are spread"


def test_an_owner_tells_those_it_missed_soon_again_and_all_once_in_a_period():
    schedule, now, rounds = AnnouncementSchedule([0, 1, 2], 60_000 * MS, 60_000 * MS), 0, []
    while now <= 120_000 * MS:
        wanted = schedule.next_targets(now)
        rounds.append((now // MS, list(wanted)))
        now += schedule.record_round(now, [2] if 2 in wanted and now < 3_000 * MS else [])
    assert rounds == [
        (0, [0, 1, 2]),
        (500, [2]),
        (1_500, [2]),
        (3_500, [2]),
        (60_000, [0, 1, 2]),
        (120_000, [0, 1, 2]),
    ]


def test_what_decides_on_times_stands_outside_the_carrier():
    """Its I/O holds no tuned time or number of its own."""
    for path in (Path(__file__).parent.parent / "stackpitch/duties/carrier").glob("*.py"):
        for one in ast.parse(path.read_text()).body:
            value = one.value if isinstance(one, (ast.Assign, ast.AnnAssign)) else None
            tuned = value is not None and any(
                (isinstance(part, ast.Constant) and type(part.value) in (int, float))
                or (isinstance(part, ast.Name) and part.id in ("MS", "SECOND"))
                for part in ast.walk(value)
            )
            assert not tuned, (path.name, one.lineno)


IDENTITY = Identity("hall", 1, 0)


def test_a_cut_at_every_system_call_keeps_every_promise_that_was_answered(tmp_path):
    """Old or new of the write that was cut, and nothing of what was answered before is lost."""
    cuts = 0
    for part in (0.0, 0.3, 0.9, 1.0):
        for cut in range(1, 200):
            path, answered = tmp_path / f"{cut}-{part}", 0
            files = CutFiles(cut, part)
            files.lock = lambda descriptor: True
            try:
                store = PromiseStore(files, str(path), IDENTITY, compact_bytes=600)
                store.open()
                assert store.initialize({})
                for term in range(1, 25):
                    assert store.save(
                        "weights", Promise(Stamp(term, 1), RecordValue(Stamp(term, 1), term, b"v" * 40))
                    )
                    answered = term
            except Cut:
                pass
            again = PromiseStore(RealFiles(), str(path), IDENTITY)
            again.open()
            term = again.promises.get("weights", Promise()).stamp.term
            assert term in (answered, answered + 1), (cut, part, term, answered)
            again.close()
            cuts += 1
            if files.calls < cut:
                break
    assert cuts > 150


def test_whose_file_it_is(tmp_path):
    first = PromiseStore(RealFiles(), str(tmp_path / "votes"), IDENTITY)
    first.open()
    assert first.initialize({}) and first.save("weights", Promise(Stamp(5, 1)))
    with pytest.raises(FileTaken, match="give each its own"):
        PromiseStore(RealFiles(), str(tmp_path / "votes"), IDENTITY).open()
    first.close()
    with pytest.raises(FileOfAnother, match="this is voter 2"):
        PromiseStore(RealFiles(), str(tmp_path / "votes"), Identity("hall", 2, 0)).open()
    with pytest.raises(FileUnreadable, match="No such file"):
        PromiseStore(RealFiles(), str(tmp_path / "none" / "votes"), IDENTITY).open()
    later = PromiseStore(RealFiles(), str(tmp_path / "votes"), Identity("hall", 1, 1))
    later.open()
    assert later.empty and later.promises["weights"].stamp.term == 5, (
        "of an older generation: what it holds is told, not trusted"
    )


def test_what_it_heard_of_other_voters_outlives_it_and_is_no_write_of_its_own(tmp_path):
    path = str(tmp_path / "votes")
    files = CutFiles(fail=errno.ENOSPC)
    store = PromiseStore(files, path, IDENTITY, compact_bytes=300)
    store.open()
    assert (
        store.initialize({})
        and store.save("weights", Promise(Stamp(1, 1)))
        and store.save_seen({0: 7, 2: 1 << 40})
    )
    assert (store.serial, store.durable_serial) == (1, 1), (
        "voters that tell each other of their writes would never end"
    )
    for term in range(2, 30):
        assert store.save("weights", Promise(Stamp(term, 1))), "the file is written anew meanwhile"
    files.failing = True
    assert not store.save("weights", Promise(Stamp(30, 1))) and not store.save_seen({0: 9, 2: 1 << 40})
    assert (store.serial, store.durable_serial) == (30, 29), "what is not on disk is told to nobody"
    files.failing = False
    again = PromiseStore(RealFiles(), str(tmp_path / "copy"), IDENTITY)
    (tmp_path / "copy").write_bytes((tmp_path / "votes").read_bytes())
    again.open()
    assert (again.seen, again.serial, again.durable_serial) == ({0: 7, 2: 1 << 40}, 29, 29)
    again.close()
    assert store.save("vocabulary", Promise(Stamp(1, 1))) and store.durable_serial == 31
    store.close()
    again = PromiseStore(RealFiles(), path, IDENTITY)
    again.open()
    assert (again.seen, again.serial) == ({0: 9, 2: 1 << 40}, 31)


def test_a_failing_disk_gives_no_yes_until_all_is_written(tmp_path):
    files = CutFiles(fail=errno.ENOSPC)
    store = PromiseStore(files, str(tmp_path / "votes"), IDENTITY)
    store.open()
    assert store.initialize({}) and store.save("weights", Promise(Stamp(1, 1)))
    files.failing = True
    assert not store.save("weights", Promise(Stamp(2, 1))) and "No space left" in store.log.error
    files.failing = False
    assert store.save("vocabulary", Promise(Stamp(1, 1)))
    store.close()
    again = PromiseStore(RealFiles(), str(tmp_path / "votes"), IDENTITY)
    again.open()
    assert again.promises["weights"].stamp.term == 2 and again.promises["vocabulary"].stamp.term == 1
