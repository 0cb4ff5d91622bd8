"""Measurements of marigolddoor beside their baselines; run with `python -m bench`."""
