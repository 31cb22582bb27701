"""What an owner must not lose: one small value a duty, at the voters, written and read under a term. Pure."""
