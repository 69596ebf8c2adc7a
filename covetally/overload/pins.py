"""An operator's hand on the line: pinned to a rung, kept from going higher, or lower, for a time that ends by
itself."""

from __future__ import annotations

from dataclasses import dataclass

from covetally.errors import ConfigurationError
from covetally.interface import SECOND
from covetally.overload import levels

WORDS = {"open": levels.OPEN, "no-retries": levels.NO_RETRIES, "own-shares": levels.OWN_SHARES}
MOST_S = 86_400.0


class BadPin(ConfigurationError):
    """A pin that says no rung, or no time."""

    code = "line-pin"
    remedy = "Say pin, most or least; open, no-retries, own-shares or 3 to 24; seconds: pin:own-shares:600."


@dataclass(frozen=True, slots=True)
class Pin:
    """`least` and `most` bound the rung until `until_ns`."""

    least: int
    most: int
    until_ns: int
    text: str


def parse(text: str, now: int) -> Pin:
    """A pin such as "pin:own-shares:600", in force from now; BadPin if it is none."""
    parts = text.split(":")
    if len(parts) != 3 or parts[0] not in ("pin", "most", "least"):
        raise BadPin(f"{text!r} is no pin")
    kind, rung, seconds = parts
    number = WORDS.get(rung, int(rung) if rung.isdecimal() else -1)
    if not levels.OPEN <= number <= levels.LAST:
        raise BadPin(f"{rung!r} is no rung")
    try:
        lasts_s = float(seconds)
    except ValueError:
        raise BadPin(f"{seconds!r} is no time in seconds") from None
    if not 0 < lasts_s <= MOST_S:
        raise BadPin(f"{seconds} s is not between 0 and {MOST_S:g}")
    least = levels.OPEN if kind == "most" else number
    most = levels.LAST if kind == "least" else number
    return Pin(least, most, now + int(lasts_s * SECOND), text)
