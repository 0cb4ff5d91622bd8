"""Randomised fault injection into the real code in virtual time, for benchmarks and tests."""
