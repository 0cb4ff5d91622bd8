"""Trouble that operators are asked about."""
