"""The gateway: a door for clients, legs to engines, and between them the decision module that `host` carries."""
