"""The platform's HTTP protocol: a second front end beside the OpenAI-style one, on the same event loop and
host."""
