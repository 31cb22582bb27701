"""Gateways that are broken on purpose, a few for each term, to show what the oracle finds and what it misses."""

from soak.mutants import answers, clients, content, effects, held, process, servers
from soak.mutants.acting import Mutant

MUTANTS: dict[str, Mutant] = (
    answers.MUTANTS
    | content.MUTANTS
    | effects.MUTANTS
    | servers.MUTANTS
    | held.MUTANTS
    | clients.MUTANTS
    | process.MUTANTS
)
