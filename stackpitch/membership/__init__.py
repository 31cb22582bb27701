"""Server lists: how they are read and validated, which of them take effect, and how they survive a crash."""
