"""Entry point of the relaying balancer, which runs on ``edge`` instances."""

import sys

from clementinelead.platform import start

if __name__ == "__main__":
    sys.exit(start.start("clementinelead.platform.balancer_program"))
