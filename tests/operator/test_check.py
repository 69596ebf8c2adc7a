"""The operator settings file: validation, the generated example, and overrides of the configuration."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from covetally.cli.main import main
from covetally.operator import check, example, overrides, schema
from covetally.operator.check import OperatorError, validate
from tests.support import MS, settings

ROOT = Path(__file__).parent.parent.parent


PLATFORM = SimpleNamespace(settings=settings(), sockets=256, client_connections=128, server_connections=102)


def problems(flat) -> list[check.Problem]:
    with pytest.raises(OperatorError) as caught:
        validate(flat)
    return caught.value.problems


def test_the_shipped_file_matches_the_schema_and_sets_nothing():
    text = (ROOT / "deploy/operator.toml").read_text()
    assert text == example.text(), "regenerate it: python -m covetally.operator.example > deploy/operator.toml"
    assert check.read(ROOT / "deploy/operator.toml") == {}


def test_every_example_in_the_shipped_file_is_valid(tmp_path):
    lines = example.text().splitlines()
    bare = [x.removeprefix("# ") for x in lines if x.startswith("# [") or (" = " in x and "default" not in x)]
    (tmp_path / "all.toml").write_text("\n".join(bare))
    values = check.read(tmp_path / "all.toml")
    assert len(values) == len(schema.KEYS)


def test_all_mistakes_are_reported_at_once_with_remedies():
    found = problems(
        {
            "limit.max_attempts": 1,
            "limits.max_attempts": 0,
            "classes.look.aim_ms": True,
            "classes.pay.deadline_ms": float("nan"),
            "log.level": "loud",
            "discovery.address": "10.0.0.256:80",
            "process.backlog": 3.5,
        }
    )
    by_key = {p.key: str(p) for p in found}
    assert len(by_key) == 7
    assert "nearest is limits.max_attempts" in by_key["limit.max_attempts"]
    assert "whole number from 1 to 100" in by_key["limits.max_attempts"]
    assert "one of debug, info" in by_key["log.level"]
    assert "a.b.c.d:port" in by_key["discovery.address"]


def test_conflicting_values_are_reported():
    (found,) = problems({"classes.look.aim_ms": 300, "classes.look.deadline_ms": 200})
    assert found.key == "classes.look.aim_ms" and found.remedy == "at most 200"


@pytest.mark.parametrize("data", [b"\xff\xfe", b"[", b"a = 1\na = 2", b"x = " + b"[" * 20_000])
def test_a_file_with_invalid_toml_is_one_problem(tmp_path, data):
    (tmp_path / "f.toml").write_bytes(data)
    with pytest.raises(OperatorError, match="cannot be read"):
        check.read(tmp_path / "f.toml")


def test_a_wildcard_part_may_contain_dots():
    values = validate({"classes.a.b.aim_ms": 10.0})
    assert values == {"classes.a.b.aim_ms": 10}
    key = schema.find("classes.a.b.aim_ms")
    assert key is not None and schema.wildcard_part(key, "classes.a.b.aim_ms") == "a.b"


@given(st.dictionaries(st.text(max_size=30), st.one_of(st.integers(), st.floats(), st.text(), st.booleans())))
def test_any_input_is_valid_or_raises_operator_error(flat):
    try:
        assert set(validate(flat)) == set(flat)
    except OperatorError as error:
        assert error.problems
        assert all(json.dumps(p.as_dict()) for p in error.problems)


def test_classes_and_limits_override_those_of_the_platform():
    got = check.apply_settings(
        settings(),
        {"classes.look.deadline_ms": 200, "classes.pay.aim_ms": 100, "limits.max_attempts": 2},
    )
    look, pay = got.classes[0], got.classes[1]
    assert (look.deadline_ns, look.aim_ns) == (200 * MS, 200 * MS), "an aim must not be after the deadline"
    assert pay.aim_ns == 100 * MS
    assert got.limits.max_attempts == 2


@pytest.mark.parametrize(
    "values, key, remedy",
    [
        ({"classes.lok.aim_ms": 5}, "classes.lok.aim_ms", "it has book"),
        ({"classes.look.deadline_ms": 1001}, "classes.look.deadline_ms", "at most 1000"),
        ({"classes.look.aim_ms": 1001}, "classes.look.aim_ms", "at most 1000"),
        ({"limits.max_attempts": 5}, "limits.max_attempts", "at most 4"),
    ],
)
def test_values_that_the_platform_does_not_allow_are_refused(values, key, remedy):
    with pytest.raises(OperatorError) as caught:
        check.apply_settings(settings(), values)
    (found,) = caught.value.problems
    assert found.key == key and remedy in found.remedy


def test_every_key_overrides_its_field_of_the_configuration():
    changed = overrides.config_overrides(
        PLATFORM,
        {
            "limits.client_connections": 9, "limits.server_connections": 8, "limits.body_memory_kib": 64,
            "log.level": "debug", "discovery.address": "127.0.0.1:5", "process.listen": "127.0.0.1:6",
            "process.backlog": 77,
        },
    )  # fmt: skip
    assert changed.pop("settings") == settings()
    assert changed == {
        "client_connections": 9, "server_connections": 8, "body_memory": 65536, "log_level": "debug",
        "discovery": ("127.0.0.1", 5), "listen": ("127.0.0.1", 6), "backlog": 77,
    }  # fmt: skip


@pytest.mark.parametrize(
    "values, key",
    [
        ({"limits.client_connections": 142}, "limits.client_connections"),
        ({"limits.server_connections": 116}, "limits.server_connections"),
        ({"limits.client_connections": 200, "limits.server_connections": 50}, "limits.client_connections"),
    ],
)
def test_more_connections_than_descriptors_are_refused(values, key):
    with pytest.raises(OperatorError) as caught:
        overrides.config_overrides(PLATFORM, values)
    (found,) = caught.value.problems
    assert found.key == key and "at most 243 together, of 256" in found.remedy
    fits = {"limits.client_connections": 141, "limits.server_connections": 102}
    assert overrides.config_overrides(PLATFORM, fits)["client_connections"] == 141


def test_the_check_command_prints_the_problems_and_exits_with_2(tmp_path):
    path = tmp_path / "f.toml"
    path.write_text("[log]\nlevl = 'info'\n[limits]\nmax_attempts = 'x'\n")
    done = CliRunner().invoke(main, ["check", str(path)])
    assert done.exit_code == 2
    assert "log.level" in done.stderr and "limits.max_attempts" in done.stderr
    done = CliRunner().invoke(main, ["check", "--json", str(path)])
    assert done.exit_code == 2
    assert [p["key"] for p in json.loads(done.stdout)["problems"]] == ["log.levl", "limits.max_attempts"]
    path.write_text("[log]\nlevel = 'info'\n")
    done = CliRunner().invoke(main, ["check", str(path)])
    assert done.exit_code == 0 and "1 settings" in done.stdout
