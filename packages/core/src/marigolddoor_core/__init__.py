"""Decisions and state of marigolddoor, without input, output, clocks, randomness or logging.

Every function that depends on time takes `now: Instant`, and every random choice takes a
`random.Random`, so that a test or a replay with the same inputs gives the same result.
"""
