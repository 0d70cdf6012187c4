"""Entry point of a ``side`` machine: the relaying side process."""

import sys

from clementinelead.platform import launch

if __name__ == "__main__":
    sys.exit(launch.launch("clementinelead.platform.side_program"))
