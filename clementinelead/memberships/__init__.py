"""Membership: who announces itself, who is gone, and how all hear of it."""
