"""Flows of one target: ownership, locators, admission and refusals."""
