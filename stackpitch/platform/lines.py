"""JSON log lines and outcome counts without the logging and metrics libraries.

Those would take more memory than a small machine has.
"""

import sys
import traceback
from typing import Any

import msgspec

from stackpitch.gateway.counters import Counters

RESERVED_FIELDS = ("level", "gateway", "event")  # present in each line


class JsonLog:
    """Writes JSON lines to standard error; has the methods of the gateway's log. `debug` writes nothing.

    `log` only counts generations, by product and by how they ended, with the outcome of the last leg where
    the generation failed. `log_outcomes` writes these counts.
    """

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        # By product and kind of end, since the start or `reset_outcomes`; bounded by the number of both.
        self.outcomes: dict[str, dict[str, int]] = {}
        self.logged = 0  # generations that the last line of `log_outcomes` covered

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        line = {"level": level, "gateway": self.gateway, "event": event, **fields}
        try:
            sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
            sys.stderr.flush()
        except OSError:
            pass  # the reader of standard error may end; the gateway goes on without it

    def debug(self, event: str, **fields: Any) -> None: ...

    def log(self, level: int, event: str, **fields: Any) -> None:
        """Counts an ended generation; other events are ignored."""
        if event == "generation":
            end, legs = fields["end"], fields["legs"]
            if end != "streamed":
                end += f" after {legs[-1].split()[1]}" if legs else " unsent"
            counts = self.outcomes.setdefault(fields["product"], {})
            counts[end] = counts.get(end, 0) + 1

    def log_outcomes(self) -> None:
        """Writes one line with the outcomes of each product, unless nothing has changed since the last."""
        totals = {product: sum(counts.values()) for product, counts in self.outcomes.items()}
        if sum(totals.values()) != self.logged:
            self.logged = sum(totals.values())
            self._write(
                "info",
                "classes",
                {
                    f"class {product}" if product in RESERVED_FIELDS else product: {
                        "came": totals[product],
                        **counts,
                    }
                    for product, counts in self.outcomes.items()
                },
            )

    def reset_outcomes(self) -> None:
        """Logs the outcomes so far and starts at zero.

        Under new settings a product is another one even if its name is the same.
        """
        self.log_outcomes()
        self.outcomes, self.logged = {}, 0

    def log_counters(self, counters: Counters) -> None:
        """Writes and resets the counters, one line for each product that was seen."""
        for line in counters.take_lines():
            self.info("counters", **line)

    def info(self, event: str, **fields: Any) -> None:
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._write("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        self._write("error", event, {**fields, "trace": traceback.format_exc()[-2000:]})


class NullMetrics:
    """Accepts every metric operation and stores nothing."""

    def __getattr__(self, name: str) -> "NullMetrics":
        return self

    def labels(self, *values: str) -> "NullMetrics":
        return self

    def inc(self) -> None: ...

    def set(self, value: float) -> None: ...

    def observe(self, value: float) -> None: ...
