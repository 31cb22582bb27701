"""Measurements on loopback, side by side in one run; tables kept in `docs/measurements.md`."""
