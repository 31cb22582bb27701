"""Stand-in clients: sessions with turns, customers, retries, some giving up early and some departing mid-stream.

Arrivals are drawn ahead and don't wait for answers, save for the turns of one session. What each client sees of
its answer is recorded. All chance is from the seed; the engine's answer is as long as `x_answer_tok` wishes.
"""

from stackpitch.rehearse.clients.run import run_clients
from stackpitch.rehearse.clients.settings import ClientSettings

__all__ = ["ClientSettings", "run_clients"]
