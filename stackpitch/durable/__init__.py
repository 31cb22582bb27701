"""Crash-safe log files, used for the stored server lists and the voters' promises."""
