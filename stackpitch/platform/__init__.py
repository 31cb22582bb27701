"""The platform's HTTP protocol: a second front end beside the OpenAI-style one.

Both share the event loop, the HTTP codec, the connection pools and the host of the decision module.
"""
