"""The record of a script: what was sent, answered and run."""

import pathlib
import time


class Record:
    """Writes lines with the time since the start, in seconds."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Writes one line."""
        elapsed = time.monotonic() - self._start
        self._file.write(f"{elapsed:9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes one line and prints it."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
