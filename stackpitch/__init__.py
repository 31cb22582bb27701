"""A request router for LLM services that run prefill (readers) and decode (writers) on separate servers."""
