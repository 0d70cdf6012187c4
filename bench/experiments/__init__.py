"""Experiments on the users' bench: paired comparisons and ablations."""
