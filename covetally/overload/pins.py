"""Pins: an operator's limit on the admission level, for a bounded time.

A pin sets the level, or keeps it from going above or below a level, and expires by itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from covetally.errors import ConfigurationError
from covetally.interface import SECOND
from covetally.overload import levels

LEVELS_BY_NAME = {"open": levels.OPEN, "no-retries": levels.NO_RETRIES, "own-shares": levels.OWN_SHARES}
MAX_DURATION_S = 86_400.0


class InvalidPin(ConfigurationError):
    """A pin without a valid kind, level or duration."""

    code = "line-pin"
    remedy = "Write pin, most or least; open, no-retries, own-shares or 3 to 24; seconds: pin:own-shares:600."


@dataclass(frozen=True, slots=True)
class Pin:
    """Keeps the level from `least` to `most` until `until_ns`; `text` is what the operator wrote."""

    least: int
    most: int
    until_ns: int
    text: str


def parse_pin(text: str, now: int) -> Pin:
    """Return the pin that a text such as "pin:own-shares:600" sets from now on; InvalidPin if it is malformed."""
    parts = text.split(":")
    if len(parts) != 3 or parts[0] not in ("pin", "most", "least"):
        raise InvalidPin(f"{text!r} is not a valid pin")
    kind, level_text, seconds = parts
    level = LEVELS_BY_NAME.get(level_text, int(level_text) if level_text.isdecimal() else -1)
    if not levels.OPEN <= level <= levels.MAX_LEVEL:
        raise InvalidPin(f"{level_text!r} is not a valid level")
    try:
        duration_s = float(seconds)
    except ValueError:
        raise InvalidPin(f"{seconds!r} is not a number of seconds") from None
    if not 0 < duration_s <= MAX_DURATION_S:
        raise InvalidPin(f"{seconds} s is not between 0 and {MAX_DURATION_S:g}")
    least = levels.OPEN if kind == "most" else level
    most = levels.MAX_LEVEL if kind == "least" else level
    return Pin(least, most, now + int(duration_s * SECOND), text)
