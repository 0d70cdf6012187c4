"""Experiments on the users' bench: pairs of commits, and ablations."""
