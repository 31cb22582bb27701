"""Log lines and counts without the console and metrics libraries, whose memory a small machine has not got."""

import sys
import traceback
from typing import Any

import msgspec


class Lines:
    """JSON lines on standard error, with the methods of the gateway's log. `debug` and `log` are off."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway

    def _write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        line = {"level": level, "gateway": self.gateway, "event": event, **fields}
        sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
        sys.stderr.flush()

    def debug(self, event: str, **fields: Any) -> None: ...

    def log(self, level: int, event: str, **fields: Any) -> None: ...

    def info(self, event: str, **fields: Any) -> None:
        self._write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._write("error", event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        self._write("error", event, {**fields, "trace": traceback.format_exc()[-2000:]})


class NoCounts:
    """Stands where counts would be kept."""

    def __getattr__(self, name: str) -> "NoCounts":
        return self

    def labels(self, *values: str) -> "NoCounts":
        return self

    def inc(self) -> None: ...

    def set(self, value: float) -> None: ...

    def observe(self, value: float) -> None: ...
