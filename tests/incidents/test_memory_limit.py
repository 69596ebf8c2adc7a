"""A process stays under the memory limit of its settings, whatever many clients make it hold.

One sidecar process as it ships; 400 clients that stop in the middle of a request, or send large ones, and come
again as soon as they are refused, beside usual clients.
"""

from __future__ import annotations

import asyncio

import pytest

from covetally.rig.memory_clients import KINDS
from covetally.rig.memory_pressure import PressurePlan, play

PLAY_TIMEOUT_S = 60.0


@pytest.mark.parametrize(
    "kinds, memory_mb",
    [
        (["many_fields"], 32),
        (["varied_fields"], 64),
        (["large_body"], 32),
        (["whole_head"], 32),
        (sorted(KINDS), 32),
        (sorted(KINDS), 192),
    ],
    ids=["many fields-32", "varied fields-64", "large bodies-32", "whole heads-32", "all-32", "all-192"],
)
def test_memory_stays_under_its_limit_and_is_given_back(kinds, memory_mb):
    """Only the bytes of larger bodies were counted, and closed connections were freed by the collector."""
    plan = PressurePlan(tuple(kinds), memory_mb=memory_mb, burst_s=2.5)
    report = asyncio.run(asyncio.wait_for(play(plan), PLAY_TIMEOUT_S))
    assert report.broken() == []
    assert report.statuses[200], "usual clients are served"
