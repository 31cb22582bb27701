"""Log lines and counts without the console and metrics libraries, whose memory a small machine has not got."""

import sys
import traceback
from typing import Any

import msgspec

from stackpitch.gateway.counters import Counters

OWN = ("level", "gateway", "event")  # fields of each line


class JsonLog:
    """JSON lines on standard error, with the methods of the gateway's log. `debug` is off. Of `log`, generations are
    counted by product and by how they ended, with the outcome of the last leg where that is the reason."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.ends: dict[
            str, dict[str, int]
        ] = {}  # since the start or `begin_anew`; as many as products and kinds of ends
        self.said = 0

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        line = {"level": level, "gateway": self.gateway, "event": event, **fields}
        try:
            sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
            sys.stderr.flush()
        except OSError:
            pass  # guards the gateway against the end of whoever reads its lines

    def debug(self, event: str, **fields: Any) -> None: ...

    def log(self, level: int, event: str, **fields: Any) -> None:
        if event == "generation":
            end, legs = fields["end"], fields["legs"]
            if end != "streamed":
                end += f" after {legs[-1].split()[1]}" if legs else " unsent"
            of = self.ends.setdefault(fields["product"], {})
            of[end] = of.get(end, 0) + 1

    def log_outcomes(self) -> None:
        """One line on what came of each product, if anything came since the last."""
        came = {product: sum(of.values()) for product, of in self.ends.items()}
        if sum(came.values()) != self.said:
            self.said = sum(came.values())
            self._write(
                "info",
                "classes",
                {
                    f"class {product}" if product in OWN else product: {"came": came[product], **of}
                    for product, of in self.ends.items()
                },
            )

    def begin_anew(self) -> None:
        """Tells what came of each product so far; the products of the next settings are others, also by the same name."""
        self.log_outcomes()
        self.ends, self.said = {}, 0

    def counters(self, counters: Counters) -> None:
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
    """Stands where counts would be kept."""

    def __getattr__(self, name: str) -> "NullMetrics":
        return self

    def labels(self, *values: str) -> "NullMetrics":
        return self

    def inc(self) -> None: ...

    def set(self, value: float) -> None: ...

    def observe(self, value: float) -> None: ...
