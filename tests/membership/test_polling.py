"""The sources and the registration go on after a step that fails in a way that nobody foresaw."""

from __future__ import annotations

import asyncio
import json

from covetally.membership import registration
from covetally.membership.active_checks import ActiveChecks
from covetally.membership.file import FileSource
from covetally.membership.polling import repeat
from covetally.membership.settings import membership_config
from covetally.net.config import load
from covetally.rig.eureka import Registry, Spec
from tests.loopback import ScriptedServer, response, wait_until
from tests.membership.registry_harness import followed_registry, run
from tests.membership.test_components import NODE
from tests.support import request_class, settings
from tests.virtual_time import run_in_virtual_time

SETTINGS = {"classes": [request_class("look", "free")]}


class FailingOnce:
    """A function that raises when it is called for the second time."""

    def __init__(self, function=lambda *arguments: None) -> None:
        self._function, self.calls = function, 0

    def __call__(self, *arguments):
        self.calls += 1
        if self.calls == 2:
            raise RuntimeError("a bug")
        return self._function(*arguments)


def test_a_failed_step_is_repeated_after_its_pause_and_equal_errors_are_logged_once(caplog):
    async def main():
        times = []

        async def step() -> float:
            times.append(round(asyncio.get_running_loop().time(), 3))
            if 2 <= len(times) <= 4:
                raise ValueError("a bug")
            return 0.5

        task = asyncio.create_task(repeat("counting", step, 2.0))
        await asyncio.sleep(8.0)
        task.cancel()
        assert times[:6] == [0.0, 0.5, 2.5, 4.5, 6.5, 7.0]

    run_in_virtual_time(main())
    assert caplog.text.count("counting failed: trying again in 2.0 s") == 1


def test_a_registry_is_read_again_after_a_list_that_could_not_be_applied():
    """One exception ended the reading of the registry for good, logged once as an internal error."""

    async def main():
        async with followed_registry(4) as harness:
            harness._on_snapshot = FailingOnce(harness._on_snapshot)
            harness.follow()
            await harness.next_snapshot()
            harness.registry.change(lambda peer: peer.cancel(("LEDGER", "n1")))
            await harness.next_snapshot(lambda snapshot: "n1" not in snapshot.members)

    run(main)


def test_a_node_file_is_read_again_after_a_list_that_could_not_be_applied(tmp_path):
    async def main():
        path = tmp_path / "nodes.toml"
        path.write_text(NODE)
        snapshots = []
        source = FileSource(str(path), FailingOnce(snapshots.append))
        source.start()
        path.write_text(NODE + '[[node]]\nid = "n2"\naddress = "10.0.0.2:80"\n')
        await wait_until(lambda: len(snapshots) > 1)
        assert sorted(snapshots[-1].members) == ["n1", "n2"]
        source.stop()

    run(main)


def test_nodes_are_checked_again_after_a_result_that_could_not_be_applied():
    async def main():
        async def respond(server, got, reader, writer):
            writer.write(response())

        server = ScriptedServer(respond)
        await server.start()
        on_result = FailingOnce()
        values = {"roster.source": "platform", "roster.check_path": "/", "roster.checks_per_node_s": 20.0}
        config = membership_config(values)
        checks = ActiveChecks(config, settings(replicasOfMe=1), lambda: {"n1": server.address}, on_result)
        checks.start()
        await wait_until(lambda: on_result.calls > 3)
        checks.stop()
        server.stop()

    run(main)


def test_a_lease_is_renewed_after_a_step_that_failed(tmp_path, monkeypatch):
    """One exception ended the renewal for good, and the instance expired while it served."""

    async def main():
        async def respond(server, got, reader, writer):
            writer.write(response())

        server = ScriptedServer(respond)
        await server.start()
        registry = Registry(Spec(["a0"]), lambda row: None)
        ports = await registry.start()
        values = {
            "eureka.addresses": f"http://127.0.0.1:{ports['a0'][0]}/eureka", "register.app": "SIDECARS",
            "register.id": "sidecar-0", "register.renew_s": 0.1, "register.lease_s": 1,
        }  # fmt: skip
        config_file = tmp_path / "config.json"
        config_file.write_text(
            json.dumps(
                {
                    "name": "a0",
                    "listen": "127.0.0.1:1",
                    "discovery": "127.0.0.1:1",
                    "seed": "1",
                    "settings": SETTINGS,
                }
            )
        )
        config = load({"EDGE_CONFIG": str(config_file)})
        fetch_status = FailingOnce(registration.fetch_status)
        monkeypatch.setattr(registration, "fetch_status", fetch_status)
        registrar = registration.Registrar(values, config, server.address)
        registrar.start()
        await wait_until(lambda: fetch_status.calls > 5)
        assert registrar.table()["status"] == "UP"
        await registrar.stop()
        registry.stop()
        server.stop()

    run(main)
