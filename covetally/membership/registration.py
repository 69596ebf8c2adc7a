"""Registers this sidecar, or a node next to it, in Eureka, and renews the lease only while it answers."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from covetally.membership.eureka.lease import Action, Health, Lease
from covetally.membership.eureka.address_selector import AddressSelector
from covetally.membership.http import CALL_ERRORS, HttpClient, fetch_status
from covetally.membership.polling import repeat
from covetally.membership.settings import read_authorization
from covetally.net.config import Address, Config
from covetally.operator.schema import Value
from covetally.operator.url import split_url

log = logging.getLogger(__name__)

HEALTH_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 3.0
CANCEL_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1024 * 1024
HEALTHY_STATUS = 200


class Registrar:
    """Keeps one instance registered in one registry from `start` to `stop`."""

    def __init__(self, values: Mapping[str, Value], config: Config, listen: Address) -> None:
        urls = [split_url(part) for part in str(values["eureka.addresses"]).split(",")]
        self._urls = {str(url): url for url in urls}
        self._addresses = AddressSelector(tuple(self._urls))
        self._http = HttpClient(MAX_ANSWER_BYTES, read_authorization(values))
        self._app = str(values["register.app"]).upper()
        host, _, port = str(values.get("register.address", "{}:{}".format(*listen))).rpartition(":")
        self._address = (host, int(port))
        self._id = str(values.get("register.id", values.get("control.name", config.name)))
        self._vip = str(values.get("register.vip", self._app))
        settings = config.settings
        own_zone = settings.zones[settings.zone] if settings.zone < len(settings.zones) else ""
        self._zone = str(values.get("register.zone", own_zone))
        self._health_path = str(values.get("register.health_path", "/_health"))
        self._renew_s = float(values.get("register.renew_s", 30))
        self._lease_s = float(values.get("register.lease_s", 90))
        self._lease = Lease(self._renew_s)
        self._started_ms = time.time_ns() // 1_000_000
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._last_address = ""  # of the last call

    def start(self) -> None:
        """Starts registering and renewing."""
        self._task = asyncio.create_task(repeat("registering", self._renew, min(1.0, self._renew_s)))

    async def stop(self, cancel: bool = True) -> None:
        """Stops renewing, and deregisters the instance if `cancel` is set.

        `cancel` is false if another process goes on renewing it. A registry that does not answer is not retried.
        """
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._lease.status and cancel:
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await self._call("DELETE", self._instance_path())
            except CALL_ERRORS as error:
                log.warning("could not deregister: %s: the lease will expire", error)
        await self._http.close()

    def table(self) -> dict[str, Any]:
        """The registration as a table for operators."""
        lease = self._lease
        return {"app": self._app, "id": self._id, "status": lease.status, "health": lease.health.value}

    async def _renew(self) -> float:
        """Registers the instance or renews its lease; returns the pause until the next time in seconds."""
        try:
            await self._update_registration()
            retry_soon = not self._lease.status and self._lease.health is Health.HEALTHY
        except CALL_ERRORS as error:
            await self._http.close()
            self._addresses.record_failure(time.monotonic_ns(), self._last_address, random.random())
            if not self._failing:
                log.warning("registering %s: %s: %s", self._id, type(error).__name__, error)
            self._failing = retry_soon = True
        except Exception:
            await self._http.close()  # its answer may be half read
            raise
        pause_s = min(1.0, self._renew_s) if retry_soon else self._lease.pause_s()
        return pause_s * random.uniform(0.9, 1.0)  # only earlier, so that the lease cannot expire

    async def _update_registration(self) -> None:
        lease = self._lease
        before = lease.status
        action = lease.next_action(await self._check_health())
        if action is Action.NOTHING:
            if before:
                log.warning("%s does not answer its health check: its lease is not renewed", self._id)
            return
        stamp = lease.dirty_timestamp(action, time.time_ns() // 1_000_000)
        if action is Action.RENEW:
            query = f"?status={lease.status}&lastDirtyTimestamp={stamp}"
            status = await self._call("PUT", self._instance_path() + query)
        else:
            body = json.dumps({"instance": self._instance(action.name, stamp)}).encode()
            status = await self._call("POST", f"/apps/{quote(self._app, '')}", body)
        lease.record_response(action, status)
        if lease.status != before or self._failing:
            log.info("%s is registered as %s", self._id, lease.status or "nothing")
        self._failing = False
        if not 200 <= status < 300 and status != 404:
            log.warning("registering %s: %s was answered with status %d", self._id, action.value, status)

    def _instance_path(self) -> str:
        return f"/apps/{quote(self._app, '')}/{quote(self._id, '')}"

    async def _call(self, method: str, path: str, body: bytes = b"") -> int:
        self._last_address = self._addresses.select(time.monotonic_ns())
        async with asyncio.timeout(CALL_TIMEOUT_S):
            headers = (("accept", "application/json"), ("content-type", "application/json"))
            response = await self._http.call(method, self._urls[self._last_address], path, body, headers)
            await response.discard()
        self._addresses.record_answer(self._last_address)
        return response.status

    async def _check_health(self) -> Health:
        """Requests the health path from the registered instance itself, at its own address."""
        status = await fetch_status(self._address, self._health_path, HEALTH_TIMEOUT_S)
        if not status:
            return Health.UNRESPONSIVE
        return Health.HEALTHY if status == HEALTHY_STATUS else Health.UNHEALTHY

    def _instance(self, status: str, stamp: int) -> dict[str, Any]:
        """The instance in the form of Eureka's clients (InstanceInfo)."""
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
