"""The platform's protocol: a front beside the OpenAI-style one, on the same loop, codec, pools and host."""
