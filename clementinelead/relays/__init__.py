"""Flows of targets that answer for themselves and return foreign packets."""
