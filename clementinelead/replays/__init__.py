"""Replays of loads against the placement decisions, without processes."""
