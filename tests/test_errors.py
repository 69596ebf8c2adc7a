"""Every error class has a unique code, a remedy, a row in the reference, and a test that covers it."""

from __future__ import annotations

import asyncio
import re

import pytest

from covetally.cli import client
from covetally.errors import CindersailError
from covetally.errors.page import error_types, page
from covetally.fleet import serve
from covetally.fleet.errors import AgentRefusedError
from covetally.fleet.serve import StartError
from covetally.net.config import ConfigError, load
from tests.test_process import ROOT

FAMILIES = {"ConfigurationError", "ContactError", "RefusedError", "DamagedError", "OverloadedError"}
TESTS = "".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))


def test_the_error_reference_is_up_to_date():
    assert (ROOT / "docs/operators/errors.md").read_text() == page(), "python -m covetally.errors.page"


@pytest.mark.parametrize("kind", error_types(), ids=lambda kind: kind.__name__)
def test_every_error_class_has_a_remedy_and_is_covered_by_a_test(kind):
    assert re.fullmatch(r"[a-z][a-z-]+", kind.code) and kind.exit_status in (1, 2) and 400 <= kind.status < 600
    assert re.match(r"[A-Z][a-z]+ ", kind.remedy) and kind.remedy.endswith("."), (
        "the remedy has to be a sentence in the imperative"
    )
    assert "bug" not in kind.remedy
    assert kind.__name__ in FAMILIES or re.search(rf"\b{kind.__name__}\b|{kind.code}", TESTS)


def test_a_platform_without_settings_and_an_agent_without_tokens_do_not_start(tmp_path):
    with pytest.raises(ConfigError, match="EDGE_CONFIG: not set"):
        load({})
    options = serve.Options(tmp_path / "state", operators=("127.0.0.1", 0))
    with pytest.raises(StartError, match="--tokens"):
        asyncio.run(serve.run(options))


def test_codes_are_unique():
    codes = [kind.code for kind in error_types()]
    assert len(codes) == len(set(codes)) > 20


def test_an_error_has_the_same_content_in_the_api_the_command_and_the_log():
    error = CindersailError("it broke", "Repair it.")
    assert error.as_dict() == {"code": "failed", "error": "it broke", "remedy": "Repair it."}
    assert error.as_line() == "it broke [failed]: Repair it."
    assert isinstance(AgentRefusedError("busy", "x"), CindersailError)
    assert client.BAD_INPUT == 2


@pytest.mark.parametrize(
    "path", ["/v1/rollouts/99999999999999999999999", "/v1/revisions/99999999999999999999999"]
)
def test_an_unknown_number_is_reported_as_unknown(path):
    from tests.fleet.test_processes import Managed, Shape, run

    async def main():
        async with Managed(Shape(nodes=1, instances=1)) as world:
            await world.start_agent()
            found = await world.get(path)
            assert found["error"] == "unknown" and "99999" in found["text"]

    run(main)
