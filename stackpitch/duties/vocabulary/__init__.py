"""Sampling parameters after a vocabulary change: what token ids of the old vocabulary mean in the new one, what a change
is allowed to do, and what each gateway makes of it. Decided by one owner for the fleet; no generation waits for it."""
