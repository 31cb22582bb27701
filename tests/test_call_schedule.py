"""The schedule of calls to discovery, searched over delays, silences and both in a row.

Bounds are the pages': a change counts as told 6 s after discovery had it and could be reached, at its return at
once, and every time limit is 50 ms longer on sockets.
"""

import itertools
from collections import Counter

import pytest
from simulated_discovery import Phase, Silence, SimulatedDiscovery, seconds

from stackpitch.loop import MS, SECOND, Time
from stackpitch.platform.watching import gateway_spread, watch_times

SOCKETS = 50 * MS
DRAIN_GRACE = 250 * MS  # the shortest of the sites
STEP = seconds(20)  # when the delay changes, or the silence begins
TOLD = 6 * SECOND
# With a longer delay a call that is made as a silence ends, or once a watch is known to be silent, can't be in time.
LONGEST_IN_TIME = 3.5
SPREADS = (0.0, 0.5, 1.0)
MINUTE = 60 * SECOND
END = STEP + 5 * MINUTE


def after_a_step(spread: float, delay: float, changes: list[Time], **how: bool) -> SimulatedDiscovery:
    """Answers come at once for 20 s, then with that delay."""
    phases = [Phase(0), Phase(STEP, seconds(delay))]
    return SimulatedDiscovery(watch_times(spread, DRAIN_GRACE), phases, changes, **how).play(END)


def rate(played: SimulatedDiscovery, begin: Time, end: Time) -> float:
    """Calls a minute that discovery received."""
    return sum(begin < at <= end for at in played.sent_at) * MINUTE / (end - begin)


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("delay", [quarter / 4 for quarter in range(25)])
def test_whatever_the_delay_a_change_is_told_when_it_is_over(delay: float, spread: float) -> None:
    for offset in range(0, 40, 2):
        changes = [seconds(19 + offset * 0.13 + number * 13.37) for number in range(13)]
        played = after_a_step(spread, delay, changes)
        assert len(played.told_at) == len(changes)
        assert max(played.lateness()) + TOLD <= seconds(delay) + SOCKETS


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("delay", [0.3, 0.7, 1.0, 2.0, 3.0, LONGEST_IN_TIME])
def test_a_change_is_told_in_time_by_answers_that_show_the_list_before_their_delay(
    delay: float, spread: float
) -> None:
    for offset in range(0, 40, 2):
        changes = [seconds(19 + offset * 0.13 + number * 13.37) for number in range(13)]
        assert max(after_a_step(spread, delay, changes, early=True).lateness()) <= SOCKETS


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("kind", [Silence.UNCONNECTED, Silence.RESET, Silence.REFUSED, None])
@pytest.mark.parametrize(
    ("before", "after"), itertools.product((0, 0.7, 2, LONGEST_IN_TIME), (0, 0.7, 2, LONGEST_IN_TIME))
)
def test_a_change_is_told_in_time_after_a_silence(
    before: float, after: float, kind: Silence | None, spread: float
) -> None:
    """None: only the calls under way fall silent. After an outage of some seconds it is told at once."""
    times = watch_times(spread, DRAIN_GRACE)
    for length, offset in itertools.product((0.3, 1.7, 2.6, 4.2, 8, 20), range(0, 26, 5)):
        begin = STEP + seconds(offset / 10)
        end = begin + seconds(length) if kind is not None else begin
        silent = [Phase(begin, silence=kind)] if kind is not None else []
        phases = [Phase(0, seconds(before)), *silent, Phase(end, seconds(after), mutes=kind is None)]
        for change in (begin - 200 * MS, begin + 1, end - 300 * MS, end + 1, end + 700 * MS):
            played = SimulatedDiscovery(times, phases, [change]).play(end + 20 * SECOND)
            assert played.lateness()[0] <= SOCKETS, (length, offset, change - begin)
            if kind is not None and length > 2.5 and not before and begin < change <= end + 1:
                assert played.told_at[0] - end <= seconds(after) + DRAIN_GRACE, (
                    length,
                    offset,
                    change - begin,
                )


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("serial", [False, True])
def test_the_slower_discovery_is_the_fewer_calls_it_gets(serial: bool, spread: float) -> None:
    rates = [
        rate(after_a_step(spread, delay, [], serial=serial), STEP + MINUTE, STEP + 2 * MINUTE)
        for delay in (0, 0.3, 0.7, 1, 2, 3, 4, 5, 6, 8)
    ]
    assert rates[0] <= 34  # one watch after another
    assert all(slower <= faster + 1 for faster, slower in itertools.pairwise(rates)), rates


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("kind", list(Silence))
def test_a_silent_discovery_receives_two_calls_a_second_at_most(kind: Silence, spread: float) -> None:
    phases = [Phase(0), Phase(STEP, silence=kind)]
    played = SimulatedDiscovery(watch_times(spread, DRAIN_GRACE), phases, []).play(STEP + MINUTE)
    assert rate(played, STEP, STEP + MINUTE) <= 120


@pytest.mark.parametrize("kind", list(Silence))
def test_gateways_call_one_after_another_as_a_silence_ends(kind: Silence) -> None:
    """200 gateways lost their watch together and find discovery back together: 40 first calls in 10 ms at most."""
    came: Counter[int] = Counter()
    end = STEP + 8 * SECOND
    for number in range(200):
        times = watch_times(gateway_spread(f"n{number}", number))
        phases = [Phase(0), Phase(STEP, silence=kind), Phase(end)]
        played = SimulatedDiscovery(times, phases, []).play(end + SECOND)
        came[(min(at for at in played.sent_at if at > end) - end) // (10 * MS)] += 1
    assert max(came.values()) <= 40, came


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("work", [0.5, 1.0, 1.5, 2.0, 2.4])
def test_a_discovery_that_works_on_one_call_at_a_time_is_heard_in_time(work: float, spread: float) -> None:
    """Also on those given up on."""
    for offset in range(0, 40, 2):
        changes = [seconds(19 + offset * 0.13 + number * 13.37) for number in range(13)]
        assert max(after_a_step(spread, work, changes, serial=True).lateness()) <= SOCKETS


@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("work", [3.0, 4.0, 5.0, 6.0, 8.0])
def test_a_discovery_that_needs_seconds_for_one_call_works_off_what_it_got(
    work: float, spread: float
) -> None:
    """It can't tell all changes in time, but it is heard and not asked for more than it can do."""
    changes = [seconds(40 + number * 30) for number in range(4)]
    played = after_a_step(spread, work, changes, serial=True)
    assert len(played.told_at) >= 3
    came = sum(at > STEP + 2 * MINUTE for at in played.sent_at)
    assert (came - 1) * seconds(work) <= 3 * MINUTE
