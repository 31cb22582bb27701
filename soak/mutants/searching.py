"""The search for one mutant: seed after seed until the oracle has a break."""

from dataclasses import dataclass

from soak.fleet import CannotStart
from soak.mutants import MUTANTS
from soak.playing import Setup, play


@dataclass(slots=True)
class Search:
    """How the search for one mutant went."""

    name: str
    seeds: int = 0  # played so far
    acted: int = 0
    found_after: int = 0  # seeds; 0: not yet
    breaks: str = ""  # the first that was found
    failed: str = ""  # why a seed could not be played

    def __str__(self) -> str:
        how = f"found after {self.found_after}" if self.found_after else f"NOT FOUND in {self.seeds}"
        return (
            f"{self.name:30} {MUTANTS[self.name].term:18} acted {self.acted:6}  {how:16}  "
            f"{self.breaks or self.failed}"
        )


def searched(name: str, first: int, seeds: int, setup: Setup) -> Search:
    """One seed after the other until it is found."""
    search = Search(name)
    for seed in range(first, first + seeds):
        try:
            outcome = play(seed, setup)
        except CannotStart as wrong:  # a fleet of mutants that can't start is a finding too
            search.failed = f"seed {seed}: {wrong}"
            continue
        search.seeds += 1
        search.acted += outcome.acted
        if outcome.breaks:
            search.found_after, search.breaks = search.seeds, outcome.breaks[0][:160]
            break
    return search
