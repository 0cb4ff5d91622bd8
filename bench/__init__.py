"""Measurements of marigolddoor with their baselines; run with `python -m bench`."""
