"""A second answer that comes late is never taken for the answer to the next request on its connection.

Real processes, with the values that ship: a sidecar, nodes that answer a second time up to 40 ms later and take
requests up to 15 ms late, and the account of every request.
"""

from __future__ import annotations

import asyncio

from covetally.rig.duplicates import DuplicatePlan, play
from covetally.rig.surplus_answer import KINDS
from tests.loopback import TEST_TIMEOUT_S

PLAY_S = 3.0
PLANS = {
    "whole": DuplicatePlan(seconds=PLAY_S, latest_ms=40.0, read_late_ms=15.0, share=0.3, failed=0.03),
    "any kind": DuplicatePlan(seconds=PLAY_S, latest_ms=40.0, read_late_ms=15.0, share=0.2, kinds=KINDS),
    "one server": DuplicatePlan(seconds=PLAY_S, nodes=1, rate=120.0, share=0.3, turned_away=0.3, latest_ms=40.0),
}


def test_a_late_second_answer_is_not_read_as_the_answer_to_the_next_request():
    async def main():
        for name, plan in PLANS.items():
            async with asyncio.timeout(TEST_TIMEOUT_S):
                report = await play(plan)
            assert report.seen["duplicated"] + report.seen["crossed"] > PLAY_S, "hardly any answer came twice"
            assert not report.verdict.breaks, (name, report.table())

    asyncio.run(main())
