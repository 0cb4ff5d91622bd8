"""Limits of the values that other writers send.

What a reader accepts is encoded, stored, computed with and read again, by every replica and after
every restart. Values beyond these limits are refused before anything is derived from them.
"""

import re

__all__ = [
    "MAX_INTEGER",
    "MAX_NESTING",
    "MAX_PORT",
    "MAX_TEXT_BYTES",
    "MAX_TIME_OF_DAY_MS",
    "is_header_text",
    "is_text",
    "shorten",
]

# Levels of arrays and objects. The parser recurses, so the depth at which it fails depends on the
# caller's stack, and a replica could fail on what another one accepted. Documents need 5 levels.
MAX_NESTING = 32
# Larger whole numbers are not exact as a double. It also fits the 64 bits of stored numbers, and
# products with the other limits do not overflow a double.
MAX_INTEGER = 2**53 - 1
# Times of day in ms since 1970, until the year 2100. Of two incarnations the one that started later
# counts, so an absurd time would hide the later ones for good.
MAX_TIME_OF_DAY_MS = 4_102_444_800_000
# Texts are stored in the log and sent in headers. The longest one is a job's payload.
MAX_TEXT_BYTES = 4000
# Ports have 16 bits.
MAX_PORT = 65535
# Characters of refused input in a log line or an error message.
MAX_SHOWN = 120

_HEADER_TEXT = re.compile(r"[\x21-\x7e]+")


def is_text(value: object) -> bool:
    """Return whether `value` is a text that can be encoded and is not too long.

    JSON can express lone surrogates, which UTF-8 cannot encode.
    """
    if not isinstance(value, str) or len(value) > MAX_TEXT_BYTES:
        return False
    if value.isascii():
        return True
    try:
        return len(value.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False


def is_header_text(value: object) -> bool:
    """Return whether `value` can be sent as a header: visible ASCII characters, at least one."""
    return is_text(value) and _HEADER_TEXT.fullmatch(str(value)) is not None


def shorten(value: object) -> str:
    """Return the text of refused input for a log line or an error message.

    Example:
      >>> shorten("a\\nb")
      "'a\\\\nb'"
      >>> len(shorten("x" * 1000))
      123
    """
    if isinstance(value, list | dict):
        # The text of a nested value may be large and needs as many stack frames as it has levels.
        return f"a {type(value).__name__} of {len(value)}"
    if isinstance(value, str):
        value = value[: MAX_SHOWN + 1]
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "..."
