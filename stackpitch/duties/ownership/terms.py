"""Terms: whole numbers that only rise. One is never asked for by two candidates, as each ends with its owner's number."""

OWNERS = 10  # bits of `module.number`: up to 1,024 gateways
COUNT = 38  # bits of the count within a generation
GENERATIONS = 1 << 10


def next_term(highest: int, generation: int, number: int) -> int:
    """The least term of ours over `highest`, in the generation that the operators name (or a later one)."""
    own = generation << COUNT + OWNERS
    return max(own, highest >> OWNERS << OWNERS) + (1 << OWNERS) + number


def owner_of(term: int) -> int:
    return term & (1 << OWNERS) - 1


def generation_of(term: int) -> int:
    return term >> COUNT + OWNERS


def text(term: int) -> str:
    """As logs show it: generation, count, owner."""
    return f"{generation_of(term)}.{term >> OWNERS & (1 << COUNT) - 1}.{owner_of(term)}"
