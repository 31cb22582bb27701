"""Tables of a rehearsed day."""

from rich.console import Console
from rich.table import Table

from stackpitch.rehearse.director import Outcome
from stackpitch.rehearse.judging import WORDS as DUTIES
from stackpitch.rehearse.judging import vocabulary, weights

WORDS = {
    1: "exactly one final answer in time",
    2: "no effect twice",
    3: "nothing new to a drained server",
    4: "no cold server pushed over",
    5: "nothing left pinned",
    **DUTIES,
    **weights.WORDS,
    **vocabulary.WORDS,
}


def show(outcome: Outcome, console: Console, stories: int = 2) -> None:
    what = "the five rules" if len(outcome.names) == 5 else "the five rules, and duties"
    table = Table(title=f"{outcome.day}: {what} (simulated servers)", title_justify="left")
    for column in ("rule", "", "breaches", "verdict"):
        table.add_column(column)
    for rule, name in outcome.names.items():
        count = sum(one.rule == rule for one in outcome.breaches)
        table.add_row(name, WORDS[rule], str(count), "[green]kept[/]" if not count else "[red]BROKEN[/]")
    console.print(table)
    for rule in outcome.names:
        for breach in [one for one in outcome.breaches if one.rule == rule][:stories]:
            console.print(f"[red]{outcome.names[rule]}[/] {breach.key}: {breach.text}", highlight=False)
            for line in breach.story[:60]:
                console.print(f"    {line}", highlight=False, markup=False, soft_wrap=True)
    figures = Table(title="Revenue within the SLO time over revenue asked (G)", title_justify="left")
    for column in ("part", "generations", "G"):
        figures.add_column(column, justify="left" if column == "part" else "right")
    for name in sorted(outcome.worth, key=lambda one: (one != "all", one)):
        one = outcome.worth[name]
        figures.add_row(name, str(one.generations), f"{one.g:.3f}")
    console.print(figures)
    per = outcome.legs / max(1, outcome.generations)
    console.print(
        f"{outcome.generations} generations, {outcome.legs} legs seen by engines ({per:.2f} a generation); "
        "ends of tries: " + ", ".join(f"{count} {name}" for name, count in outcome.ends.items())
    )
    if outcome.modes:
        console.print("logged: " + ", ".join(f"{name} {count}" for name, count in outcome.modes.items()))
    if not outcome.finished:
        console.print("[red]the clients had not ended in time[/]")
