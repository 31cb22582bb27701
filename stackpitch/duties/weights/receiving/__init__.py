"""A gateway that fetches: which pieces it has, what it may ask whom for now, and the asking itself."""
