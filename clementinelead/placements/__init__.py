"""Placement: which targets are candidates for a flow, in which order."""
