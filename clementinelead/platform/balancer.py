"""Entry point of an ``edge`` machine: the relaying balancer."""

import sys

from clementinelead.platform import launch

if __name__ == "__main__":
    sys.exit(launch.launch("clementinelead.platform.balancer_program"))
