"""Placement: the ranked candidates of each flow."""
