"""Entry point of the relaying balancer, which runs on ``edge`` instances."""

import sys

from clementinelead.platform import launch

if __name__ == "__main__":
    sys.exit(launch.launch("clementinelead.platform.balancer_program"))
