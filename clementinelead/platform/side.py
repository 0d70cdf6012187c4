"""Entry point of the side process, which runs on ``side`` instances."""

import sys

from clementinelead.platform import start

if __name__ == "__main__":
    sys.exit(start.start("clementinelead.platform.side_program"))
