"""The site that the rig plays: four classes, three workshops, and the settings that tell a sidecar of them."""

from __future__ import annotations

from typing import Any

from covetally.rig.account import MS, ClassRule
from covetally.rig.load import LoadClass

ZONES = ("milano-lambrate", "torino-lingotto", "bologna-navile")
KIND = "std-4c"
TENANTS = {"officina-brescia": 0.45, "officina-verona": 0.32, "officina-cremona": 0.23}
WINDOW_MS = 2500
CELL_SIZE = 4  # nodes

# name, share, repeat, aim, deadline, mean work (ms)
_CLASSES = (
    ("module-lookup", 0.34, "free", 300, 1000, 40.0),
    ("calib-update", 0.28, "free", 300, 1500, 44.0),
    ("batch-checkin", 0.22, "guarded", 500, 2500, 60.0),
    ("loan-transfer", 0.16, "single_shot", 400, 1200, 40.0),
)
LOAD_CLASSES = tuple(LoadClass(name, share, repeat, end) for name, share, repeat, _, end, _ in _CLASSES)
KEYED = tuple(name for name, _, repeat, *_ in _CLASSES if repeat == "guarded")


def work_ms(scale: float = 1.0) -> dict[str, float]:
    """Mean service time of each class on a warm slot, in ms."""
    return {name: mean * scale for name, *_, mean in _CLASSES}


def rules() -> dict[str, ClassRule]:
    """What the checker has to know of each class."""
    return {
        name: ClassRule(repeat, aim * MS, "cell" if repeat == "guarded" else "all", WINDOW_MS * MS)
        for name, _, repeat, aim, _, _ in _CLASSES
    }


def settings(index: int, replicas: int, cold_from: float, cold_ms: int) -> dict[str, Any]:
    """The settings object of one instance, as the platform words it."""
    return {
        "classes": [
            {
                "name": name, "onTimeNs": aim * MS, "hardLimitNs": end * MS, "repeat": repeat,
                "group": "cell" if repeat == "guarded" else "all", "windowNs": WINDOW_MS * MS,
                "credit": 5.0 if repeat == "single_shot" else 3.0, "lateWorth": 0.0, "stream": False,
            }
            for name, _, repeat, aim, end, _ in _CLASSES
        ],
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "failureDomains": list(ZONES),
        "kinds": [KIND],
        "index": index,
        "zone": index % len(ZONES),
        "replicasOfMe": replicas,
        "periodNs": 5 * MS,
        "invariants": {
            "coldFrom": cold_from, "coldNs": max(1, cold_ms) * MS, "drainGraceNs": 500 * MS,
            "fallMultiple": 3.0, "fallNs": 2000 * MS, "graceToAnswerNs": 20 * MS,
        },
        "limits": {
            "cancel": True, "connIdleNs": 30_000 * MS, "connectTimeoutNs": 150 * MS, "maxAttempts": 6,
            "maxRetryAfterNs": 1200 * MS, "retryAfter": True, "secondCopies": False, "streamsPerConn": 1,
        },
        "prices": {"crossZone": 0.03, "handshake": 0.03},
        "projects": [{"name": name, "share": share} for name, share in TENANTS.items()],
        "reporting": {"how": "answers", "columns": ["eps", "latency_ms", "qps", "queue"]},
    }  # fmt: skip
