"""Duties on several processes of the program, with faults between and under them."""

import signal
import time

import msgspec
import pytest
from duties_stage import LEASE_MS, Fleet, number_of, order

from stackpitch.duties.ownership.voter import Promise


def promises(fleet, but=()):
    """What each voter says that it has promised and keeps, by number."""
    found = {}
    for number in fleet.voters:
        if number not in but and fleet.processes[number].poll() is None:
            answer = fleet.call(number, "state")
            found[number] = msgspec.json.decode(answer.body, type=Promise)
    return found


@pytest.mark.parametrize("kind", ["owner", "write", "release", "renewal"])
def test_an_owner_stopped_between_its_look_and_its_send_does_no_harm(tmp_path, kind):
    """Woken after its successor has written: what it then sends is turned down, and it steps down by itself."""
    with Fleet(tmp_path, 4, [0, 1, 2], announce_ms=500) as fleet:
        fleet.start(0, 2, 3)
        first = 1  # of the duty's order; the others begin as it stops, so that it is the first owner
        fleet.signal(0, signal.SIGSTOP)
        fleet.signal(2, signal.SIGSTOP)
        fleet.start(first, broken=f"stop-at-{kind}")
        fleet.signal(0, signal.SIGCONT)
        fleet.signal(2, signal.SIGCONT)
        fleet.wait(lambda: any(word == "owner" and number == first for word, number, _ in fleet.words()), 10)
        term = next(line["term"] for word, number, line in fleet.words() if word == "owner")
        if kind == "release":
            fleet.new_owner()
            fleet.signal(first, signal.SIGTERM)
        fleet.wait(lambda: stopped(fleet, first), 12, "it never stopped itself")
        later, its_term = fleet.new_owner(term)
        assert later != first and order(its_term) > order(term)
        time.sleep(0.3)
        before = promises(fleet, but=(first,))
        assert all(one.stamp.term == number_of(its_term) == one.kept.stamp.term for one in before.values()), before
        fleet.signal(first, signal.SIGCONT)
        down = {"owner": "owner", "write": "write", "release": "release", "renewal": "lease"}[kind]
        refused = fleet.wait(lambda: [line for word, _, line in fleet.words() if word == "turned down" and line["sender"] == first
                                      and line["term"] == term and line["kind"] == down], 5, "nobody turned its late call down")
        assert refused[0]["known"] == its_term
        fleet.wait(lambda: any(word == "stepped down" and line["term"] == term for word, _, line in fleet.words()), 5)
        time.sleep(LEASE_MS / 1000)
        assert promises(fleet, but=(first,)) == before and fleet.owner() == (later, its_term), "its successor was disturbed"


def stopped(fleet, number):
    with open(f"/proc/{fleet.processes[number].pid}/stat") as stat:
        return stat.read().rpartition(")")[2].split()[0] == "T"


def test_an_owner_that_ends_is_killed_or_stopped_is_followed_in_time(tmp_path):
    with Fleet(tmp_path, 4, [0, 1, 2], names=("weights", "vocabulary")) as fleet:
        fleet.start(0, 1, 2, 3)
        number, term = fleet.new_owner()
        begun = time.monotonic()
        fleet.signal(number, signal.SIGTERM)
        after, later = fleet.new_owner(term)
        assert after != number and time.monotonic() - begun < 0.5
        fleet.processes[number].wait()
        fleet.start(number)
        fleet.wait(lambda: fleet.log(number)[-1]["event"] == "voter_joins" or number == 3, 5)
        time.sleep(1.2 * LEASE_MS / 1000)
        assert fleet.owner() == (after, later), "one that comes back disturbs nobody"
        begun = time.monotonic()
        fleet.signal(after, signal.SIGKILL)
        number, term = fleet.new_owner(later)
        assert number != after and time.monotonic() - begun < LEASE_MS / 1000 + 1
        fleet.start(after)
        fleet.wait(lambda: fleet.log(after)[-1]["event"] == "voter_joins" or after == 3, 5)
        time.sleep(1.2 * LEASE_MS / 1000)
        fleet.signal(number, signal.SIGSTOP)
        begun = time.monotonic()
        after, later = fleet.new_owner(term)
        assert after != number and time.monotonic() - begun < LEASE_MS / 1000 + 1
        fleet.signal(number, signal.SIGCONT)
        down = fleet.wait(lambda: [line for word, _, line in fleet.words() if word == "stepped down" and line["term"] == term])
        assert down[0]["why"] == "its lease ran out"
        time.sleep(0.5)
        assert fleet.owner() == (after, later)
