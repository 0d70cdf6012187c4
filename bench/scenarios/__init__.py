"""Named scenarios; each returns its figures and the bounds it missed."""
