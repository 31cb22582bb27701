"""Codecs without I/O: HTTP/1.1, server-sent events, the engine and platform protocols, load reports."""
