"""The rules hold under random settings, as sites unknown to us may have."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from covetally.interface import ServerEntry, ServerListUpdate, Settings
from tests.support import MS, BalancerHarness
from tests.test_balance_properties import SERVERS, STEPS, play

TIMES_MS = st.integers(1, 3_000)


@st.composite
def classes(draw: st.DrawFn) -> list[dict[str, Any]]:
    """Draw one to six classes with any groups, windows, deadlines and aims."""
    drawn = []
    for number in range(draw(st.integers(1, 6))):
        deadline_ms = draw(TIMES_MS)
        drawn.append({
            "name": f"class {number}", "hardLimitNs": deadline_ms * MS,
            "onTimeNs": draw(st.integers(0, deadline_ms)) * MS,
            "repeat": draw(st.sampled_from(["free", "guarded", "single_shot"])),
            "group": draw(st.sampled_from(["all", "zone", "cell"])), "windowNs": draw(TIMES_MS) * MS,
            "credit": draw(st.sampled_from([0.0, 1.0, 10.0])),
            "lateWorth": draw(st.sampled_from([0.0, 0.25, 1.0])),
            "aimStretch": draw(st.sampled_from([0.0, 3.0])),
        })  # fmt: skip
    return drawn


@st.composite
def sites(draw: st.DrawFn) -> dict[str, Any]:
    """Draw a settings object, with or without its optional keys."""
    raw: dict[str, Any] = {
        "classes": draw(classes()),
        "failureDomains": [f"zone {i}" for i in range(draw(st.sampled_from([0, 1, 6])))],
        "replicasOfMe": draw(st.sampled_from([1, 3, 1000])),
        "periodNs": draw(st.sampled_from([1, 4, 20])) * MS,
        "discovery": draw(st.sampled_from(["automatic", "subscribe"])),
        "clients": {"marksRetry": draw(st.booleans())},
        "familyInfo": {"warmKeys": draw(st.booleans())},
    }
    if draw(st.booleans()):
        raw["projects"] = [{"name": f"t{i}", "share": 0.5} for i in range(draw(st.integers(1, 3)))]
    if draw(st.booleans()):
        raw["reporting"] = {"how": "answers", "columns": ["queue", "qps", "latency_ms"]}
    raw["limits"] = {
        "maxAttempts": draw(st.integers(1, 6)), "secondCopies": draw(st.booleans()),
        "retryAfter": draw(st.booleans()), "maxRetryAfterNs": draw(TIMES_MS) * MS, "peers": draw(st.booleans()),
        "streamsPerConn": draw(st.sampled_from([1, 100])), "connectTimeoutNs": draw(TIMES_MS) * MS,
        "connIdleNs": draw(TIMES_MS) * MS,
    }  # fmt: skip
    raw["invariants"] = {
        "coldFrom": draw(st.sampled_from([0.01, 0.3, 1.0])), "coldNs": draw(TIMES_MS) * 10 * MS,
        "drainGraceNs": draw(TIMES_MS) * MS, "mustAskInNs": draw(TIMES_MS) * 10 * MS,
    }  # fmt: skip
    return raw


@profile(max_examples=250, derandomize=True, deadline=None, database=None)
@given(sites(), st.lists(STEPS, max_size=50), st.integers(0, 2**32))
def test_rules_hold_under_random_settings(raw, steps, seed):
    config = Settings.parse(raw)
    harness = BalancerHarness(config, SERVERS, seed)
    zones = max(1, len(config.zones))
    harness.feed(
        ServerListUpdate("FULL", tuple(ServerEntry(f"s{i}", i % zones, cell=i // 3) for i in range(SERVERS)))
    )
    count = len(config.classes)
    steps = [(n, number % count if n == "accept" else number, value) for n, number, value in steps]
    play(harness, [step for step in steps if step[0] != "reconfigure"])
