"""Strict parsing of the numbers in headers and store records.

`int` and `float` accept more than the platform's formats do: digits of other scripts,
underscores, signs, infinities and "nan". A number that is out of range raises an error
far from where it was read.
"""

import re

_MAX_COUNT_DIGITS = 15
"""Digits of the largest count; every such number is exact as a float."""
_MAX_DECIMAL_DIGITS = 12
"""Digits of the largest decimal number before its point."""
_COUNT_PATTERN = re.compile(rf"[0-9]{{1,{_MAX_COUNT_DIGITS}}}")
_DECIMAL_PATTERN = re.compile(rf"[0-9]{{1,{_MAX_DECIMAL_DIGITS}}}(\.[0-9]{{0,9}})?")


def parse_count(text: str) -> int | None:
    """Return the non-negative integer in `text`, None for any other text."""
    text = text.strip()
    return int(text) if _COUNT_PATTERN.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Return the non-negative decimal number in `text`, None for any other text."""
    text = text.strip()
    return float(text) if _DECIMAL_PATTERN.fullmatch(text) else None


def parse_duration(text: str, *, unit_seconds: float) -> float | None:
    """Return the duration in `text` in seconds, None if it is not a decimal number.

    Parameters
    ----------
    text : str
        A non-negative decimal number, without an exponent.
    unit_seconds : float
        Unit of the number in seconds.
    """
    number = parse_decimal(text)
    return None if number is None else number * unit_seconds
