"""Flows beside a target: ownership, locators, acceptance, refusals."""
