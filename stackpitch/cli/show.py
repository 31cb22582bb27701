"""Prints the outcome of a rehearsal as tables."""

from rich.console import Console
from rich.table import Table

from stackpitch.rehearse.director import Outcome
from stackpitch.rehearse.judging import WORDS as DUTY_RULES
from stackpitch.rehearse.judging import vocabulary, weights

RULES = {
    1: "exactly one final answer in time",
    2: "no effect twice",
    3: "nothing new to a drained server",
    4: "no cold server pushed over",
    5: "nothing left pinned",
    **DUTY_RULES,
    **weights.WORDS,
    **vocabulary.WORDS,
}


def show(outcome: Outcome, console: Console, max_stories: int = 2) -> None:
    """Prints the rules with their breaches (`max_stories` of each rule in full), revenue and totals."""
    checked_rules = "the five rules" if len(outcome.names) == 5 else "the five rules, and duties"
    table = Table(title=f"{outcome.day}: {checked_rules} (simulated servers)", title_justify="left")
    for column in ("rule", "", "breaches", "verdict"):
        table.add_column(column)
    for rule, name in outcome.names.items():
        count = sum(candidate.rule == rule for candidate in outcome.breaches)
        table.add_row(name, RULES[rule], str(count), "[green]kept[/]" if not count else "[red]BROKEN[/]")
    console.print(table)
    for rule in outcome.names:
        for breach in [candidate for candidate in outcome.breaches if candidate.rule == rule][:max_stories]:
            console.print(f"[red]{outcome.names[rule]}[/] {breach.key}: {breach.text}", highlight=False)
            for line in breach.story[:60]:
                console.print(f"    {line}", highlight=False, markup=False, soft_wrap=True)
    revenue_table = Table(title="Revenue within the SLO time over revenue asked (G)", title_justify="left")
    for column in ("part", "generations", "G"):
        revenue_table.add_column(column, justify="left" if column == "part" else "right")
    for name in sorted(outcome.worth, key=lambda part: (part != "all", part)):
        figures = outcome.worth[name]
        revenue_table.add_row(name, str(figures.generations), f"{figures.g:.3f}")
    console.print(revenue_table)
    legs_per_generation = outcome.legs / max(1, outcome.generations)
    console.print(
        f"{outcome.generations} generations, {outcome.legs} legs seen by engines "
        f"({legs_per_generation:.2f} a generation); ends of tries: "
        + ", ".join(f"{count} {name}" for name, count in outcome.ends.items())
    )
    if outcome.modes:
        console.print("logged: " + ", ".join(f"{name} {count}" for name, count in outcome.modes.items()))
    if not outcome.finished:
        console.print("[red]the clients had not ended in time[/]")
