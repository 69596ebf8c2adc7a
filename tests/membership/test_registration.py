"""Registration: a real sidecar at the test registry, and an independent Eureka client on both sides of it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import pytest
from py_eureka_client import eureka_client

from covetally.membership.eureka.client import EurekaConfig, EurekaSource
from covetally.net.clock import Clock
from covetally.operator.url import split_url
from covetally.rig.eureka import Registry, Spec
from covetally.rig.registered import Registered
from covetally.rig.world import Shape
from tests.membership.registry_harness import followed_registry, run
from tests.membership.test_processes import run as run_long

REGISTER = """
[register]
app = "SIDECARS"
id = "sidecar-0"
renew_s = 0.2
lease_s = 1
"""


async def registered_status(harness: Registered, name: str = "sidecar-0") -> str:
    """The status that the registry lists for an instance, read by the independent client; empty if not listed."""
    url = f"http://127.0.0.1:{harness.ports['other'][0]}/eureka"
    found = await eureka_client.get_applications(url)
    for app in found.applications:
        for one in app.instances:
            if one.instanceId == name:
                return one.status
    return ""


async def wait_for_status(harness: Registered, expected: str) -> None:
    while await registered_status(harness) != expected:
        await asyncio.sleep(0.05)


def test_a_sidecar_registers_renews_expires_while_hung_and_deregisters():
    async def main():
        async with Registered(Shape(nodes=2, instances=1), evict_s=0.1) as harness:
            path = harness.write_operator("a0")
            path.write_text(path.read_text() + REGISTER)
            await harness.start_instance("a0")
            await wait_for_status(harness, "UP")
            await asyncio.sleep(1.5)
            assert await registered_status(harness) == "UP", "its lease is renewed"
            process = harness.instances["a0"].process
            os.kill(process.pid, signal.SIGSTOP)
            await wait_for_status(harness, "")
            os.kill(process.pid, signal.SIGCONT)
            await wait_for_status(harness, "UP")
            assert await harness.stop_instance("a0") == 0
            assert await registered_status(harness) == ""

    run_long(main)


def test_a_node_next_to_the_sidecar_is_registered_while_it_answers():
    async def main():
        async with Registered(Shape(nodes=2, instances=1), evict_s=0.1) as harness:
            path = harness.write_operator("a0")
            node = harness.nodes["n0"]
            more = f'address = "{node.entry["hostPort"]}"\nhealth_path = "/ping"\n'
            path.write_text(path.read_text() + REGISTER + more)
            await harness.start_instance("a0")
            await wait_for_status(harness, "UP")
            harness.mood("n0", draining=True)  # it answers the health check with 503
            await wait_for_status(harness, "DOWN")
            harness.mood("n0")
            await wait_for_status(harness, "UP")
            os.kill(node.child.pid, signal.SIGSTOP)
            await wait_for_status(harness, "")
            os.kill(node.child.pid, signal.SIGCONT)
            await wait_for_status(harness, "UP")

    run_long(main)


def test_instances_registered_by_an_independent_client_are_followed():
    async def main():
        async with followed_registry(0) as harness:
            client = eureka_client.EurekaClient(
                eureka_server=harness.urls[0], app_name="LEDGER", instance_id="theirs", instance_host="127.0.0.1",
                instance_ip="127.0.0.1", instance_port=9100, renewal_interval_in_secs=1, duration_in_secs=3,
                should_discover=False, metadata={"zone": "a"},
            )  # fmt: skip
            await client.start()
            follow = harness.follow(scope="all")
            snapshot = await harness.next_snapshot(lambda snapshot: "theirs" in snapshot.members)
            member = snapshot.members["theirs"]
            assert member.address == ("127.0.0.1", 9100) and member.zone == "a" and member.state == "up"
            await client.status_update("OUT_OF_SERVICE")
            await harness.next_snapshot(
                lambda snapshot: snapshot.members["theirs"].source_state == "OUT_OF_SERVICE"
            )
            await client.stop()
            await harness.next_snapshot(lambda snapshot: "theirs" not in snapshot.members)
            assert follow.counts["failures"] == 0

    run(main)


def test_leases_expire_unless_self_preservation_keeps_them():
    async def main():
        from tests.membership.registry_harness import node

        registry = Registry(Spec(["a0"], evict_s=0.05), lambda row: None)
        ports = await registry.start()
        short = {"renewalIntervalInSecs": 1, "durationInSecs": 0}
        registry.change(lambda peer: peer.register(node(0, _eternal=False, leaseInfo=short)))
        snapshots = []
        url = split_url(f"http://127.0.0.1:{ports['a0'][0]}/eureka")
        client = EurekaSource(EurekaConfig((url,), "LEDGER", poll_s=0.05), Clock(), snapshots.append)
        client.start()
        while not snapshots or snapshots[-1].members:
            await asyncio.sleep(0.01)
        registry.spec.preserve, registry.peers[0].born = 0.85, -1000.0
        registry.change(lambda peer: peer.register(node(1, _eternal=False, leaseInfo=short)))
        while not snapshots[-1].members:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert list(snapshots[-1].members) == ["n1"], "so few renewals are more likely caused by the network"
        client.stop()
        registry.stop()

    run(main)


@pytest.mark.parametrize(
    ("lines", "names"),
    [
        ('[roster]\nsource = "eureka"\n', 'roster.source = "eureka": needs eureka.addresses'),
        ('[roster]\nsource = "file"\nfile = "/none/such"\n', "roster.file"),
        ('[roster]\nsource = "registry"\n', "one of off, platform, eureka, file"),
        ('[eureka]\naddresses = "http://ledger.example.org/eureka"\n', "http://A.B.C.D:PORT/PATH"),
        ('[roster]\ncompare = "file"\nfile = "/x"\n', 'roster.compare = "file": means nothing'),
        (
            '[register]\napp = "X"\n[eureka]\naddresses = "http://10.0.0.1/"\ncredentials_file = "/none"\n',
            "eureka.credentials_file",
        ),
        ('[register]\nid = "x"\n', "means nothing without register.app"),
        ('[register]\napp = "X"\nrenew_s = 90\n[eureka]\naddresses = "http://10.0.0.1/"\n', "register.renew_s"),
        (
            '[roster]\nsource = "eureka"\n[eureka]\nname = "L"\naddresses = "http://10.0.0.1/"\n'
            'credentials_file = "/none"\n',
            "eureka.credentials_file",
        ),
    ],
)
def test_invalid_settings_end_the_start_with_one_line_that_names_the_key(tmp_path, lines, names):
    import json
    import subprocess

    from tests.test_process import SETTINGS

    config = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (tmp_path / "c.json").write_text(json.dumps(config))
    (tmp_path / "o.toml").write_text(lines)
    done = subprocess.run(
        [sys.executable, "-m", "covetally", "--operator", str(tmp_path / "o.toml")],
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "c.json")}, capture_output=True, text=True, timeout=20,
    )  # fmt: skip
    assert done.returncode == 2 and names in done.stderr and len(done.stderr.splitlines()) == 1, done.stderr
