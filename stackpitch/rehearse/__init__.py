"""Days with troubles on loopback: stand-in engines and clients, what they saw, and the verdict on the five rules.

Engines here are simple models of engines, written for this project: their speeds are settings, not measurements.
"""
