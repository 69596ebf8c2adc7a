"""Tests of one sidecar with several worker processes on loopback: crashes, hangs, replacement and shutdown."""

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


class WorkerCluster:
    """A test cluster with one instance, `a0`, whose workers are found by their log lines."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.instance = world.instances["a0"]
        self.operator = self.instance.folder / "operator.toml"

    def write_config(self, count: object, more: str = "") -> None:
        self.operator.write_text(f"[workers]\ncount = {count}\n{more}\n")

    @property
    def pids(self) -> dict[int, int]:
        """The pid of the worker that started last in each slot, if it is still running."""
        found = re.findall(r"worker (\d+) \(pid (\d+)\) is up", self.instance.log)
        return {int(slot): int(pid) for slot, pid in found if os.path.exists(f"/proc/{pid}/fd")}

    async def wait_until_up(self, count: int, exclude: tuple[int, ...] = ()) -> dict[int, int]:
        """Wait until each of `count` slots has a worker and no pid of `exclude` is left."""
        while not (set(self.pids) >= set(range(count)) and not set(self.pids.values()) & set(exclude)):
            await asyncio.sleep(0.02)
        return self.pids

    async def wait_for_log(self, text: str) -> None:
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

    def check_requests(self) -> None:
        verdict = self.world.account.judge()
        assert verdict.kept, verdict.breaks[:5]
        assert verdict.served > 0.95 * verdict.asked, verdict.table()

    async def connect_to_each(
        self, each: int = 1
    ) -> dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]:
        """Open `each` connections to each worker and return them by the pid of the worker that accepted them.

        Surplus connections are closed: the kernel may give most of them to one worker, and a worker may close
        idle connections beyond its share.
        """
        pids = list(self.pids.values())
        connections: dict[int, list] = {pid: [] for pid in pids}
        while min(map(len, connections.values())) < each:
            reader, writer = await asyncio.open_connection(*self.instance.address)
            writer.write(
                b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
            )  # the response shows that a worker has accepted it
            assert b" 200 " in await read_message(reader)
            accepted = connections[holder(writer.get_extra_info("socket"), pids)]
            if len(accepted) < each:
                accepted.append((reader, writer))
            else:
                writer.close()
        return connections


@asynccontextmanager
async def worker_cluster(count: int = 2, more: str = "", **shape):
    async with World(Shape(instances=1, **({"nodes": 4, "work_scale": 0.5} | shape))) as world:
        cluster = WorkerCluster(world)
        cluster.write_config(count, more)
        cluster.instance.arguments = ("--operator", str(cluster.operator))
        await world.start_instances()
        await cluster.wait_until_up(count)
        yield cluster


def encode_request(name: str, cls: str = "module-lookup") -> bytes:
    headers = {"Host": "x", "X-Trace-Id": name, "X-Qos": cls, "X-Expires-In": "1.0"}
    return request("GET" if cls == "module-lookup" else "POST", "/api?sid=m1", headers, b"")


async def read_status(stream) -> int:
    """Return the status of the next response, or 0 if the connection closes first."""
    try:
        return int((await read_message(stream[0])).split(b" ")[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0


def test_a_killed_worker_loses_only_its_own_requests():
    async def main():
        async with worker_cluster(3, work_scale=8.0) as cluster:
            streams = await cluster.connect_to_each(2)
            victim = cluster.pids[1]
            waiting = {}
            for pid, several in streams.items():
                for number, stream in enumerate(several):
                    stream[1].write(encode_request(f"k{pid}-{number}"))
                    waiting[pid, number] = asyncio.create_task(read_status(stream))
            while sum(node.seen["arrived"] for node in cluster.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            os.kill(victim, signal.SIGKILL)
            statuses = {key: await task for key, task in waiting.items()}
            assert all(code == 0 for (pid, _), code in statuses.items() if pid == victim), statuses
            assert all(code in (200, 503) for (pid, _), code in statuses.items() if pid != victim), statuses
            await cluster.wait_until_up(3, exclude=(victim,))
            assert "ended with status -9" in cluster.instance.log

    run(main)


def test_a_hung_worker_is_killed_while_the_others_serve():
    async def main():
        async with worker_cluster(2, "hang_s = 0.6") as cluster:
            victim = cluster.pids[0]
            os.kill(victim, signal.SIGSTOP)
            for number in range(30):  # during the hang and after it
                stream = await asyncio.open_connection(*cluster.instance.address)
                stream[1].write(encode_request(f"h{number}"))
                assert await read_status(stream) == 200
                stream[1].close()
            await cluster.wait_for_log("it hangs: killed")
            await cluster.wait_until_up(2, exclude=(victim,))

    run(main)


def test_replacing_all_workers_under_load_loses_no_request():
    async def main():
        async with worker_cluster(2) as cluster:
            before = tuple(cluster.pids.values())
            _, playing = cluster.load(120, 6)
            await asyncio.sleep(0.5)
            cluster.signal(signal.SIGUSR2)
            await cluster.wait_until_up(2, exclude=before)
            assert not playing.done(), "the replacement took longer than the load"
            await playing
            cluster.check_requests()
            assert "ended with status" not in cluster.instance.log

    run(main)


def test_a_reload_changes_the_number_of_workers_under_load_and_an_invalid_file_changes_nothing():
    async def main():
        async with worker_cluster(2) as cluster:
            _, playing = cluster.load(120, 5)
            await asyncio.sleep(0.3)
            cluster.write_config(3)
            cluster.signal(signal.SIGHUP)
            third = (await cluster.wait_until_up(3))[2]
            cluster.write_config("many")
            cluster.signal(signal.SIGHUP)
            await cluster.wait_for_log("the old configuration stays")
            assert len(cluster.pids) == 3
            cluster.write_config(1)
            cluster.signal(signal.SIGHUP)
            while len(cluster.pids) > 1:
                await asyncio.sleep(0.02)
            assert third not in cluster.pids.values()
            await playing
            cluster.check_requests()

    run(main)


def test_workers_finish_their_requests_and_free_the_address_after_the_supervisor_is_killed():
    async def main():
        async with worker_cluster(2, work_scale=4.0) as cluster:
            pids = cluster.pids
            streams = await cluster.connect_to_each()
            for pid, several in streams.items():
                several[0][1].write(encode_request(f"s{pid}"))
            while sum(node.seen["arrived"] for node in cluster.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            cluster.world.kill_instance("a0")
            assert [await read_status(several[0]) for several in streams.values()] == [200, 200]
            await cluster.world.start_instance("a0")  # binds the address once the old workers have closed it
            await cluster.wait_until_up(2, exclude=tuple(pids.values()))
            assert cluster.instance.log.count("the supervisor is gone") == 2

    run(main)


def test_one_worker_serves_all_connections_and_the_other_accepts_new_ones():
    async def main():
        async with worker_cluster(2, work_scale=0.5) as cluster:
            one, other = cluster.pids.values()
            os.kill(other, signal.SIGSTOP)  # so that the first worker accepts all connections
            streams = [await asyncio.open_connection(*cluster.instance.address) for _ in range(24)]
            for stream in streams:
                stream[1].write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                assert await read_status(stream) == 200
            os.kill(other, signal.SIGCONT)
            holders = [holder(stream[1].get_extra_info("socket"), [one, other]) for stream in streams]
            assert holders == [one] * 24
            for number, stream in enumerate(streams):
                stream[1].write(encode_request(f"u{number}"))
            statuses = [await read_status(stream) for stream in streams]
            assert statuses == [200] * 24, statuses
            # The idle worker accepts the next connection and has its own half of the budgets.
            late = await asyncio.open_connection(*cluster.instance.address)
            late[1].write(encode_request("late"))
            assert await read_status(late) == 200

    run(main)


def test_sigterm_during_a_replacement_drains_all_workers():
    async def main():
        async with worker_cluster(2, work_scale=4.0) as cluster:
            streams = await cluster.connect_to_each()
            cluster.signal(signal.SIGUSR2)
            for pid, several in streams.items():
                several[0][1].write(encode_request(f"t{pid}"))
            while sum(node.seen["arrived"] for node in cluster.world.nodes.values()) < 2:
                await asyncio.sleep(0.005)
            cluster.signal(signal.SIGTERM)
            assert [await read_status(several[0]) for several in streams.values()] == [200, 200]
            assert await cluster.instance.process.wait() == 0
            assert cluster.pids == {}
            with pytest.raises(OSError):
                await asyncio.open_connection(*cluster.instance.address)

    run(main)


def test_an_id_open_in_one_worker_is_rejected_by_another():
    async def main():
        async with worker_cluster(2, work_scale=4.0) as cluster:
            one, other = (several[0] for several in (await cluster.connect_to_each()).values())
            for stream in (one, other):
                stream[1].write(encode_request("same", "loan-transfer"))
            assert sorted([await read_status(one), await read_status(other)]) == [200, 409]
            assert sum(node.seen["arrived"] for node in cluster.world.nodes.values()) == 1

    run(main)


def test_all_workers_respect_a_drain_and_do_not_overload_a_returning_node():
    async def main():
        async with worker_cluster(2, slots=8) as cluster:
            _, playing = cluster.load(150, 6)
            await asyncio.sleep(1.0)
            cluster.world.lifecycle("n0", "leaving")
            await cluster.world.kill_node("n1")
            await asyncio.sleep(1.0)
            await cluster.world.revive_node("n1")  # with a cold cache
            await playing
            verdict = cluster.world.account.judge()
            assert verdict.kept, verdict.breaks[:5]
            assert cluster.world.nodes["n1"].seen["arrived"] > 0, "it serves again"

    run(main)


def test_a_worker_without_free_descriptors_does_not_block_the_others():
    async def main():
        async with worker_cluster(2) as cluster:
            victim = cluster.pids[0]
            used = {int(name) for name in os.listdir(f"/proc/{victim}/fd")}
            least = next(number for number in range(len(used) + 1) if number not in used)
            resource.prlimit(
                victim, resource.RLIMIT_NOFILE, (least, least)
            )  # not even a gap between open descriptors is free
            streams = [await asyncio.open_connection(*cluster.instance.address) for _ in range(30)]
            for number, stream in enumerate(streams):
                stream[1].write(encode_request(f"d{number}"))
            codes = [await read_status(stream) for stream in streams]
            assert set(codes) <= {200, 503} and codes.count(200) > 20, codes

    run(main)


def test_clients_that_connect_and_leave_cost_no_response():
    async def main():
        async with worker_cluster(2) as cluster:
            _, playing = cluster.load(100, 3)
            while not playing.done():
                for _ in range(20):
                    with socket.create_connection(cluster.instance.address):
                        pass
                await asyncio.sleep(0.02)
            cluster.check_requests()

    run(main)
