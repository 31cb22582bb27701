"""Distributes model weights to the sites: what is wanted, who may fetch what from where and when, and its placement on disk."""
