"""A layer-4 load balancer whose targets accept or pass on each flow."""

__version__ = "0.1.0"
