"""Randomised fault runs of the real code in virtual time, for the bench and the tests."""
