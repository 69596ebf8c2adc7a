"""Gossip messages between sidecars: the frame, and the latest message of each sender. No I/O.

`transport` runs the participants on the event loop and is imported only where it is used.
"""

from covetally.gossip.frame import MAGIC, MalformedMessageError, Message, Topic, decode, encode
from covetally.gossip.latest import LatestMessages, ReceivedMessage, first_sequence, is_newer_incarnation

__all__ = [
    "MAGIC",
    "LatestMessages",
    "MalformedMessageError",
    "Message",
    "ReceivedMessage",
    "Topic",
    "decode",
    "encode",
    "first_sequence",
    "is_newer_incarnation",
]
