"""Model weights to the sites: what is wanted, who may fetch what from where and when, and how it gets in place."""
