"""One sidecar of several workers, real processes on loopback: what dies, hangs, is replaced, and who loses."""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import socket
from contextlib import asynccontextmanager

import pytest

from covetally.rig import site
from covetally.rig.load import Load, Plan
from covetally.rig.sockets import holder
from covetally.rig.wire import request
from covetally.rig.world import Shape, World
from tests.loopback import read_message

TEST_TIMEOUT_S = 60.0


def run(main) -> None:
    async def timed():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await main()

    asyncio.run(timed())


class Crew:
    """The world with one instance, `a0`, and what its log tells of the workers."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.instance = world.instances["a0"]
        self.operator = self.instance.folder / "operator.toml"

    def write(self, count: object, more: str = "") -> None:
        self.operator.write_text(f"[workers]\ncount = {count}\n{more}\n")

    @property
    def pids(self) -> dict[int, int]:
        """The pid of the worker that came up last at each place, of those that live."""
        found = re.findall(r"worker (\d+) \(pid (\d+)\) is up", self.instance.log)
        return {int(place): int(pid) for place, pid in found if os.path.exists(f"/proc/{pid}/fd")}

    async def up(self, count: int, but: tuple[int, ...] = ()) -> dict[int, int]:
        """Until there is a worker at each of so many places, none of them one of `but`."""
        while not (set(self.pids) >= set(range(count)) and not set(self.pids.values()) & set(but)):
            await asyncio.sleep(0.02)
        return self.pids

    async def logged(self, text: str) -> None:
        while text not in self.instance.log:
            assert self.instance.running or text in self.instance.log, self.instance.log[-2000:]
            await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        self.instance.process.send_signal(number)

    def load(self, rate: float, seconds: float) -> tuple[Load, asyncio.Task[None]]:
        world = self.world
        plan = Plan(site.LOAD_CLASSES, site.TENANTS, ("a0",), rate, seconds)
        load = Load(world.account, {"a0": self.instance.address}, plan, world.alive)
        return load, asyncio.create_task(load.play(plan.draw()))

    def kept(self) -> None:
        verdict = self.world.account.judge()
        assert verdict.kept, verdict.breaks[:5]
        assert verdict.served > 0.95 * verdict.asked, verdict.table()

    async def on_each(self, each: int = 1) -> dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]:
        """Connections by the pid of the worker that let them in, so many with each. What one has beyond is
        closed: a worker may end idle connections past its share, and the kernel may give most of them to one."""
        pids = list(self.pids.values())
        found: dict[int, list] = {pid: [] for pid in pids}
        while min(map(len, found.values())) < each:
            reader, writer = await asyncio.open_connection(*self.instance.address)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")  # answered: it has been let in
            assert b" 200 " in await read_message(reader)
            mine = found[holder(writer.get_extra_info("socket"), pids)]
            if len(mine) < each:
                mine.append((reader, writer))
            else:
                writer.close()
        return found


@asynccontextmanager
async def crew(count: int = 2, more: str = "", **shape):
    async with World(Shape(instances=1, **({"nodes": 4, "work_scale": 0.5} | shape))) as world:
        here = Crew(world)
        here.write(count, more)
        here.instance.arguments = ("--operator", str(here.operator))
        await world.start_instances()
        await here.up(count)
        yield here


def ask(name: str, cls: str = "module-lookup") -> bytes:
    headers = {"Host": "x", "X-Trace-Id": name, "X-Qos": cls, "X-Expires-In": "1.0"}
    return request("GET" if cls == "module-lookup" else "POST", "/api?sid=m1", headers, b"")


async def status(stream) -> int:
    """The status of the next answer, 0 if the connection ends without one."""
    try:
        return int((await read_message(stream[0])).split(b" ")[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0


def test_a_worker_that_is_killed_loses_its_own_requests_and_no_others():
    async def main():
        async with crew(3, work_scale=8.0) as here:
            streams = await here.on_each(2)
            victim = here.pids[1]
            waiting = {}
            for pid, several in streams.items():
                for number, stream in enumerate(several):
                    stream[1].write(ask(f"k{pid}-{number}"))
                    waiting[pid, number] = asyncio.create_task(status(stream))
            while sum(node.seen["arrived"] for node in here.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            os.kill(victim, signal.SIGKILL)
            got = {who: await task for who, task in waiting.items()}
            assert all(code == 0 for (pid, _), code in got.items() if pid == victim), got
            assert all(code in (200, 503) for (pid, _), code in got.items() if pid != victim), got
            await here.up(3, but=(victim,))
            assert "ended with status -9" in here.instance.log

    run(main)


def test_a_worker_that_hangs_is_killed_and_the_others_serve_on():
    async def main():
        async with crew(2, "hang_s = 0.6") as here:
            victim = here.pids[0]
            os.kill(victim, signal.SIGSTOP)
            for number in range(30):  # while it hangs, and after
                stream = await asyncio.open_connection(*here.instance.address)
                stream[1].write(ask(f"h{number}"))
                assert await status(stream) == 200
                stream[1].close()
            await here.logged("it hangs: killed")
            await here.up(2, but=(victim,))

    run(main)


def test_all_workers_replaced_in_turn_under_load_lose_nothing():
    async def main():
        async with crew(2) as here:
            before = tuple(here.pids.values())
            _, playing = here.load(120, 6)
            await asyncio.sleep(0.5)
            here.signal(signal.SIGUSR2)
            await here.up(2, but=before)
            assert not playing.done(), "it took longer than the load"
            await playing
            here.kept()
            assert "ended with status" not in here.instance.log

    run(main)


def test_another_number_is_taken_up_under_load_and_a_bad_file_changes_nothing():
    async def main():
        async with crew(2) as here:
            _, playing = here.load(120, 5)
            await asyncio.sleep(0.3)
            here.write(3)
            here.signal(signal.SIGHUP)
            third = (await here.up(3))[2]
            here.write("many")
            here.signal(signal.SIGHUP)
            await here.logged("the old configuration stays")
            assert len(here.pids) == 3
            here.write(1)
            here.signal(signal.SIGHUP)
            while len(here.pids) > 1:
                await asyncio.sleep(0.02)
            assert third not in here.pids.values()
            await playing
            here.kept()

    run(main)


def test_with_its_supervisor_killed_the_workers_answer_what_they_took_and_leave_the_address():
    async def main():
        async with crew(2, work_scale=4.0) as here:
            pids = here.pids
            streams = await here.on_each()
            for pid, several in streams.items():
                several[0][1].write(ask(f"s{pid}"))
            while sum(node.seen["arrived"] for node in here.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            here.world.kill_instance("a0")
            assert [await status(several[0]) for several in streams.values()] == [200, 200]
            await here.world.start_instance("a0")  # the address is free again in time
            await here.up(2, but=tuple(pids.values()))
            assert here.instance.log.count("the supervisor is gone") == 2

    run(main)


def test_connections_that_all_fell_to_one_worker_are_served_and_limits_kept():
    async def main():
        async with crew(2, work_scale=0.5) as here:
            one, other = here.pids.values()
            os.kill(other, signal.SIGSTOP)  # so that the first lets all of them in
            streams = [await asyncio.open_connection(*here.instance.address) for _ in range(24)]
            for stream in streams:
                stream[1].write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert await status(stream) == 200
            os.kill(other, signal.SIGCONT)
            holders = [holder(stream[1].get_extra_info("socket"), [one, other]) for stream in streams]
            assert holders == [one] * 24
            for number, stream in enumerate(streams):
                stream[1].write(ask(f"u{number}"))
            got = [await status(stream) for stream in streams]
            assert got == [200] * 24, got
            # The idle one takes what comes next, with its own half of the budgets.
            late = await asyncio.open_connection(*here.instance.address)
            late[1].write(ask("late"))
            assert await status(late) == 200

    run(main)


def test_sigterm_in_the_middle_of_a_replacement_ends_all_in_good_order():
    async def main():
        async with crew(2, work_scale=4.0) as here:
            streams = await here.on_each()
            here.signal(signal.SIGUSR2)
            for pid, several in streams.items():
                several[0][1].write(ask(f"t{pid}"))
            while sum(node.seen["arrived"] for node in here.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            here.signal(signal.SIGTERM)
            assert [await status(several[0]) for several in streams.values()] == [200, 200]
            assert await here.instance.process.wait() == 0
            assert here.pids == {}
            with pytest.raises(OSError):
                await asyncio.open_connection(*here.instance.address)

    run(main)


def test_one_id_at_two_workers_at_once_is_one_request():
    async def main():
        async with crew(2, work_scale=4.0) as here:
            one, other = (several[0] for several in (await here.on_each()).values())
            for stream in (one, other):
                stream[1].write(ask("same", "loan-transfer"))
            assert sorted([await status(one), await status(other)]) == [200, 409]
            assert sum(node.seen["arrived"] for node in here.world.nodes.values()) == 1

    run(main)


def test_a_drain_is_kept_by_all_workers_and_a_returning_node_is_not_pushed_over():
    async def main():
        async with crew(2, slots=8) as here:
            _, playing = here.load(150, 6)
            await asyncio.sleep(1.0)
            here.world.lifecycle("n0", "leaving")
            await here.world.kill_node("n1")
            await asyncio.sleep(1.0)
            await here.world.revive_node("n1")  # cold
            await playing
            verdict = here.world.account.judge()
            assert verdict.kept, verdict.breaks[:5]
            assert here.world.nodes["n1"].seen["arrived"] > 0, "it is back at work"

    run(main)


def test_a_worker_out_of_descriptors_keeps_nobody_from_the_others():
    async def main():
        async with crew(2) as here:
            victim = here.pids[0]
            used = {int(name) for name in os.listdir(f"/proc/{victim}/fd")}
            least = next(number for number in range(len(used) + 1) if number not in used)
            resource.prlimit(victim, resource.RLIMIT_NOFILE, (least, least))  # none is left, not even in a gap
            streams = [await asyncio.open_connection(*here.instance.address) for _ in range(30)]
            for number, stream in enumerate(streams):
                stream[1].write(ask(f"d{number}"))
            codes = [await status(stream) for stream in streams]
            assert set(codes) <= {200, 503} and codes.count(200) > 20, codes

    run(main)


def test_clients_that_connect_and_leave_cost_no_one_an_answer():
    async def main():
        async with crew(2) as here:
            _, playing = here.load(100, 3)
            while not playing.done():
                for _ in range(20):
                    with socket.create_connection(here.instance.address):
                        pass
                await asyncio.sleep(0.02)
            here.kept()

    run(main)
