"""One small durable value per duty, replicated at the voters, read and written under a term. Pure."""
