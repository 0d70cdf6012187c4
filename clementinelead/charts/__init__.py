"""State charts: data files, interpreted with ``transitions``."""
