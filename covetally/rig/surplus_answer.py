"""The forms in which a node sends an answer a second time, on a connection on which nothing asks for it."""

from __future__ import annotations

import random

KINDS = ("whole", "pieces", "noise", "half_line", "half_head", "interim")
NOISE_BYTES = 64


def pieces(rng: random.Random, kind: str, answer: bytes) -> list[bytes]:
    """What is written, piece by piece, for a second answer of this kind; ValueError on an unknown kind."""
    head_end = answer.index(b"\r\n\r\n")
    line_end = answer.index(b"\r\n")
    match kind:
        case "whole":
            return [answer]
        case "pieces":
            cuts = sorted(rng.sample(range(1, len(answer)), 2))
            return [answer[: cuts[0]], answer[cuts[0] : cuts[1]], answer[cuts[1] :]]
        case "noise":
            return [rng.randbytes(NOISE_BYTES)]
        case "half_line":
            return [answer[: rng.randrange(1, line_end)]]
        case "half_head":
            return [answer[: rng.randrange(line_end, head_end + 1)]]
        case "interim":
            return [b"HTTP/1.1 100 Continue\r\n\r\n" + answer]
    raise ValueError(f"no second answer of the kind {kind!r}")
