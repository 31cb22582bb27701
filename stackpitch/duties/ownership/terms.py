"""Terms (fencing tokens): integers that only rise.

A term is made of a generation, a counter and its candidate's gateway number, so two candidates never
request the same.
"""

NUMBER_BITS = 10  # bits of `module.number`: up to 1,024 gateways
COUNTER_BITS = 38  # bits of the counter within a generation
MAX_GENERATIONS = 1 << 10


def next_term(highest: int, generation: int, number: int) -> int:
    """The lowest term of gateway `number` above `highest`, in the configured `generation` or a later one."""
    lowest = generation << COUNTER_BITS + NUMBER_BITS
    return max(lowest, highest >> NUMBER_BITS << NUMBER_BITS) + (1 << NUMBER_BITS) + number


def owner_of(term: int) -> int:
    """The number of the gateway that requested the term."""
    return term & (1 << NUMBER_BITS) - 1


def generation_of(term: int) -> int:
    """The generation in which the term was requested."""
    return term >> COUNTER_BITS + NUMBER_BITS


def format_term(term: int) -> str:
    """The term as logs show it: generation, counter and gateway number."""
    return f"{generation_of(term)}.{term >> NUMBER_BITS & (1 << COUNTER_BITS) - 1}.{owner_of(term)}"
