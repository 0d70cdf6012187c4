"""Soak test of the platform's programs with randomized fault injection.

It starts the real programs as processes on loopback, simulates store, router,
targets and callers itself, injects faults from outside, and checks the
invariants against what callers and targets observe.
"""
