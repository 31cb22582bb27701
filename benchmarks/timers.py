"""What setting, cancelling and firing a timer costs with few and with many pending.

python -m benchmarks.timers
"""

import time

from rich.console import Console
from rich.table import Table

from stackpitch.loop import Timers


def cost(pending: int, rounds: int = 200_000) -> tuple[float, float]:
    """Microseconds for set and cancel, and for set and fire, with so many others pending."""
    timers = Timers()
    for number in range(pending):
        timers.at(10_000_000 + number * 7919 % pending, int)
    begun = time.perf_counter()
    for number in range(rounds):
        timers.at(5_000_000 + number * 31 % 1_000_000, int).cancel()
    cancelled = (time.perf_counter() - begun) / rounds * 1e6
    begun = time.perf_counter()
    for number in range(rounds):
        timers.at(number, int)
        call = timers.pop(number)
        assert call is not None
        call()
    return cancelled, (time.perf_counter() - begun) / rounds * 1e6


def main() -> None:
    table = Table(title="One timer, microseconds (best of five)", title_justify="left")
    for column in ("pending", "set and cancel", "set and fire"):
        table.add_column(column, justify="right")
    for pending in (1_000, 100_000):
        tries = [cost(pending) for _ in range(5)]
        table.add_row(
            f"{pending:,}", f"{min(one for one, _ in tries):.2f}", f"{min(one for _, one in tries):.2f}"
        )
    Console().print(table)


if __name__ == "__main__":
    main()
