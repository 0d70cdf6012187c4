"""Discrete-event simulations of the placement decisions under a workload."""
