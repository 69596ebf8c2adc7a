"""Registers this sidecar, or a node beside it, in Eureka: renewed only as long as it really answers."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from covetally.membership.eureka.lease import Act, Health, Lease
from covetally.membership.eureka.address_selector import Registries
from covetally.membership.http import FAILURES, Http, status_of
from covetally.membership.settings import authorization
from covetally.net.config import Address, Config
from covetally.operator.schema import Value
from covetally.operator.url import split_url

log = logging.getLogger(__name__)

HEALTH_S = 2.0
CALL_S = 3.0
CANCEL_S = 1.0
MAX_ANSWER = 1024 * 1024
SERVED = 200


class Registrar:
    """One instance in one registry, from `start` to `stop`."""

    def __init__(self, values: Mapping[str, Value], config: Config, listen: Address) -> None:
        urls = [split_url(part) for part in str(values["eureka.addresses"]).split(",")]
        self._urls = {str(url): url for url in urls}
        self._registries = Registries(tuple(self._urls))
        self._http = Http(MAX_ANSWER, authorization(values))
        self._app = str(values["register.app"]).upper()
        host, _, port = str(values.get("register.address", "{}:{}".format(*listen))).rpartition(":")
        self._address = (host, int(port))
        self._id = str(values.get("register.id", values.get("control.name", config.name)))
        self._vip = str(values.get("register.vip", self._app))
        settings = config.settings
        own = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._zone = str(values.get("register.zone", own))
        self._health_path = str(values.get("register.health_path", "/_health"))
        self._renew_s = float(values.get("register.renew_s", 30))
        self._lease_s = float(values.get("register.lease_s", 90))
        self._lease = Lease(self._renew_s)
        self._started_ms = time.time_ns() // 1_000_000
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._asked = ""  # the address of the last call

    def start(self) -> None:
        """Register, and renew from now on."""
        self._task = asyncio.create_task(self._run())

    async def stop(self, cancel: bool = True) -> None:
        """Take the instance out of the registry, unless another process renews it from here on; a registry that
        does not answer is not waited for."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._lease.status and cancel:
            try:
                async with asyncio.timeout(CANCEL_S):
                    await self._call("DELETE", self._place())
            except FAILURES as error:
                log.warning("not taken out of the registry: %s: its lease has to run out", error)
        await self._http.close()

    def table(self) -> dict[str, Any]:
        """For operators."""
        lease = self._lease
        return {"app": self._app, "id": self._id, "status": lease.status, "health": lease.health.value}

    async def _run(self) -> None:
        while True:
            try:
                await self._turn()
                again = not self._lease.status and self._lease.health is Health.GOOD
            except FAILURES as error:
                await self._http.close()
                self._registries.failed(time.monotonic_ns(), self._asked, random.random())
                if not self._failing:
                    log.warning("registering %s: %s: %s", self._id, type(error).__name__, error)
                self._failing = again = True
            pause_s = min(1.0, self._renew_s) if again else self._lease.pause_s()
            await asyncio.sleep(pause_s * random.uniform(0.9, 1.0))  # never later than it has to be

    async def _turn(self) -> None:
        lease = self._lease
        before = lease.status
        act = lease.next(await self._health())
        if act is Act.NOTHING:
            if before:
                log.warning("%s does not answer: its lease is not renewed", self._id)
            return
        stamp = lease.stamp(act, time.time_ns() // 1_000_000)
        if act is Act.RENEW:
            words = f"?status={lease.status}&lastDirtyTimestamp={stamp}"
            status = await self._call("PUT", self._place() + words)
        else:
            body = json.dumps({"instance": self._instance(act.name, stamp)}).encode()
            status = await self._call("POST", f"/apps/{quote(self._app, '')}", body)
        lease.done(act, status)
        if lease.status != before or self._failing:
            log.info("%s is registered as %s", self._id, lease.status or "nothing")
        self._failing = False
        if not 200 <= status < 300 and status != 404:
            log.warning("registering %s: %s was answered %d", self._id, act.value, status)

    def _place(self) -> str:
        return f"/apps/{quote(self._app, '')}/{quote(self._id, '')}"

    async def _call(self, method: str, path: str, body: bytes = b"") -> int:
        self._asked = self._registries.pick(time.monotonic_ns())
        async with asyncio.timeout(CALL_S):
            more = (("accept", "application/json"), ("content-type", "application/json"))
            answer = await self._http.call(method, self._urls[self._asked], path, body, more)
            await answer.drop()
        self._registries.answered(self._asked)
        return answer.status

    async def _health(self) -> Health:
        """Ask what is registered itself, over its own address."""
        status = await status_of(self._address, self._health_path, HEALTH_S)
        if not status:
            return Health.SILENT
        return Health.GOOD if status == SERVED else Health.BAD

    def _instance(self, status: str, stamp: int) -> dict[str, Any]:
        """The instance as Eureka's clients word it (InstanceInfo)."""
        host, port = self._address
        base = f"http://{host}:{port}"
        return {
            "instanceId": self._id, "hostName": host, "app": self._app, "ipAddr": host, "status": status,
            "overriddenstatus": "UNKNOWN", "port": {"$": port, "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"}, "countryId": 1,
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn",
            },
            "leaseInfo": {
                "renewalIntervalInSecs": max(1, round(self._renew_s)),
                "durationInSecs": max(1, round(self._lease_s)),
            },
            "metadata": {"zone": self._zone, "startedAtMs": str(self._started_ms)},
            "homePageUrl": f"{base}/", "statusPageUrl": f"{base}{self._health_path}",
            "healthCheckUrl": f"{base}{self._health_path}", "vipAddress": self._vip,
            "lastDirtyTimestamp": str(stamp),
        }  # fmt: skip
