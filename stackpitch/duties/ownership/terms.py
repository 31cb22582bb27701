"""Terms: whole numbers that only rise. One is never asked for by two candidates, as each ends with its owner's number."""

NUMBER_BITS = 10  # bits of `module.number`: up to 1,024 gateways
COUNTER_BITS = 38  # bits of the count within a generation
MAX_GENERATIONS = 1 << 10


def next_term(highest: int, generation: int, number: int) -> int:
    """The least term of ours over `highest`, in the generation that the operators name (or a later one)."""
    own = generation << COUNTER_BITS + NUMBER_BITS
    return max(own, highest >> NUMBER_BITS << NUMBER_BITS) + (1 << NUMBER_BITS) + number


def owner_of(term: int) -> int:
    return term & (1 << NUMBER_BITS) - 1


def generation_of(term: int) -> int:
    return term >> COUNTER_BITS + NUMBER_BITS


def format_term(term: int) -> str:
    """As logs show it: generation, count, owner."""
    return f"{generation_of(term)}.{term >> NUMBER_BITS & (1 << COUNTER_BITS) - 1}.{owner_of(term)}"
