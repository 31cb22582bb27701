"""The heap of timers."""

from stackpitch.loop import Timers


def test_cancelled_timers_do_not_accumulate() -> None:
    timers = Timers()
    fired: list[int] = []
    for number in range(100_000):
        timers.at(number, lambda number=number: fired.append(number)).cancel()
    assert len(timers.heap) < 2000 and len(timers) == 0
    for number in (5, 3, 3, 9):
        timers.at(number, lambda number=number: fired.append(number))
    while (call := timers.pop(5)) is not None:
        call()
    assert fired == [3, 3, 5] and timers.next() == 9
