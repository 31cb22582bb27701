"""Tests of routing, written as statements and run against the real decision module in a dry run."""
