"""Short words that sidecars tell all others of themselves: one frame, and the newest of each sender. No I/O."""

from covetally.gossip.frame import MARK, BadWord, Part, Word, decode, encode
from covetally.gossip.latest import Newest, Told, first_number, is_newer

__all__ = ["MARK", "BadWord", "Newest", "Part", "Told", "Word", "decode", "encode", "first_number", "is_newer"]
