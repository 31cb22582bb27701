"""Statements on what the router does, tried in a dry world with the real decision modules."""
