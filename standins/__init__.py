"""Stand-ins for what surrounds the system: store, fabric, target, caller.

They are no part of the product and start no processes either. Each logs what
it saw, so that an audit can count from outside what became of the requests.
"""
