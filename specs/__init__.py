"""Bounded model checking of the core protocols with z3."""
