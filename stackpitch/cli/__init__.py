"""The `stackpitch` command line."""
