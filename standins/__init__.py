"""Stand-ins for the system's environment: store, fabric, targets, callers.

They are no part of the product, and start no processes of it. Callers and
targets log each request, so that an audit can count the results independently
of the product.
"""
