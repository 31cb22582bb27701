"""Grants: who may fetch which pieces from where at what rate until when; how they run out, and how they are paced. Pure."""
