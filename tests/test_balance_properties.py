"""Rules one to three hold for random valid sequences of events."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from covetally.interface import AttemptEnded, ClientDisconnected, ResponseStarted, ServerEntry, ServerListUpdate
from tests.support import MS, BalancerHarness, fleet, settings

SERVERS = 8

STATUSES = st.sampled_from([100, 100, 301, 302, 303, 304, 305, 306, 307])
LIFECYCLES = st.sampled_from(["up", "draining", "removed", "restart"])
STEPS = st.one_of(
    st.tuples(st.just("accept"), st.integers(0, 4), st.integers(20, 1_000)),
    st.tuples(st.just("answer"), st.integers(0, 63), STATUSES),
    st.tuples(st.just("advance"), st.integers(1, 400), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, SERVERS - 1), LIFECYCLES),
    st.tuples(st.just("full"), st.integers(0, 2**SERVERS - 1), st.just(0)),
    st.tuples(st.just("leave"), st.integers(0, 63), st.just(0)),
    st.tuples(st.just("unknown"), st.integers(0, 63), st.just(0)),
    st.tuples(st.just("end"), st.integers(1, 300), st.just(0)),
    st.tuples(st.just("reconfigure"), st.integers(1, 6), st.integers(20, 1_000)),
)


def play(harness: BalancerHarness, steps: list[tuple[str, int, object]]) -> None:
    """Run the steps on the harness, then let all requests end."""
    for name, number, value in steps:
        if name == "accept":
            harness.accept(number, ttl=value * MS, key=f"k{value % 5}")
        elif name == "reconfigure":
            classes = tuple(
                replace(c, aim_ns=value * MS // 3, deadline_ns=value * MS) for c in harness.config.classes
            )
            limits = replace(harness.config.limits, max_attempts=number)
            harness.config = replace(harness.config, classes=classes, limits=limits)
            harness.balancer.reconfigure(harness.config)
        elif name == "answer" and harness.outstanding:
            attempt = sorted(harness.outstanding)[number % len(harness.outstanding)]
            harness.answer(*attempt, status=value, queue=float(number), latency_ms=20.0)
        elif name == "end":
            harness.shut_down(harness.now + number * MS)
        elif name == "advance":
            harness.advance(number * MS)
        elif name == "list":
            started = harness.now if value == "restart" else 0
            lifecycle = "up" if value == "restart" else value
            entry = ServerEntry(f"s{number}", number % 2, 0, number // 4, lifecycle, 1.0, started)
            harness.feed(ServerListUpdate("INCREMENTAL", (entry,)))
        elif name == "full":
            harness.feed(
                ServerListUpdate("FULL", tuple(e for i, e in enumerate(fleet(SERVERS)) if number >> i & 1))
            )
        elif name == "leave" and harness.owed:
            harness.disconnect(sorted(harness.owed)[number % len(harness.owed)])
        elif name == "unknown":
            harness.feed(ClientDisconnected(f"{number:x}"))
            harness.feed(ResponseStarted(f"{number:x}"))
            harness.feed(AttemptEnded(f"{number:x}", 100, 5, "s0", 0, True, {}))
    harness.advance(2_000 * MS)
    assert not harness.owed, "rule 1: requests left without an answer"
    assert not harness.outstanding
    assert all(s.inflight == 0 and not s.probing for s in harness.balancer.state.servers.values()), (
        "the count of calls in flight leaked"
    )


def _rule_test(**changes):
    config = settings(**changes)

    @profile(max_examples=120, derandomize=True, deadline=None, database=None)
    @given(st.lists(STEPS, max_size=60), st.integers(0, 2**32))
    def check(steps, seed):
        play(BalancerHarness(config, SERVERS, seed), steps)

    return check


test_rules_hold = _rule_test()
test_rules_hold_with_key_affinity_and_hedging = _rule_test(
    familyInfo={"warmKeys": True}, limits={"maxAttempts": 3, "secondCopies": True, "retryAfter": True}
)
test_rules_hold_with_a_subscription_to_the_server_list = _rule_test(discovery="subscribe")


@profile(max_examples=40, derandomize=True, deadline=None, database=None)
@given(st.lists(STEPS, max_size=40), st.integers(0, 2**32))
def test_same_events_and_seed_give_the_same_actions(steps, seed):
    first, second = BalancerHarness(servers=SERVERS, seed=seed), BalancerHarness(servers=SERVERS, seed=seed)
    play(first, steps)
    play(second, steps)
    assert first.history == second.history
    assert first.final_answers == second.final_answers
