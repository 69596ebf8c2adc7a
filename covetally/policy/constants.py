"""The figures that several rules share."""

from __future__ import annotations

from covetally.interface import AttemptStatus

OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT, UNUSABLE_RESPONSE = AttemptStatus
STEPS = 10  # the clamp on k: A105's default for max_connections_per_subchannel
GAIN = 0.3  # weight of one new observation against what was known
RETRY_RATIO = 0.2  # further attempts earned by one request
LONE = 0.4  # failure average past which a failure is not the only one of late, where all others are well
PLENTY = 32  # requests of late for each server, over four times the longest deadline, that count as many
SAFE = 0.6  # expected time over time left up to which a call is sent without a doubt
RATIOS = (0.75, 0.9, 1.05, 1.25, 1.6)  # bounds of the classes of expected time over time left
MUTE = 3  # calls without an answer that show a silent zone where others answer
