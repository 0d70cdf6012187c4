"""A randomized fault soak of the programs that run on the platform.

It starts the real programs as processes on loopback, plays store, router,
targets and callers itself, injects faults from outside, and checks the promises
from what callers and targets see.
"""
