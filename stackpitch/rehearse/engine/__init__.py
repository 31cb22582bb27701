"""A stand-in engine: reads prompts, writes answers, holds read states, falls ill on command.

Work goes in steps. A step reads up to `chunk` prompt tokens, first come first, and makes one token for each running
answer; it takes a fixed time, more for each of both, and longer while the engine is cold or slowed. Memory, slots
and queue are bounded. Kept prefixes are blocks of text by chained hash, the least lately used go first.
All that passed is recorded for the checker; `docs/engine-protocol.md` says what is spoken.
"""

from stackpitch.rehearse.engine.run import run_engine
from stackpitch.rehearse.engine.settings import EngineSettings

__all__ = ["EngineSettings", "run_engine"]
