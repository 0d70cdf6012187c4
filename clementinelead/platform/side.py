"""Entry point of the side process, which runs on ``side`` instances."""

import sys

from clementinelead.platform import launch

if __name__ == "__main__":
    sys.exit(launch.launch("clementinelead.platform.side_program"))
