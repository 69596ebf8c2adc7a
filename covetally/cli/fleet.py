"""The commands that operate a whole fleet, collected for the main command."""

from __future__ import annotations

from covetally.cli.agent import agent
from covetally.cli.change import apply, forget, restart, resume, set_, unset
from covetally.cli.look import diff, history, list_, logs, show, top
from covetally.cli.rollouts import rollout

COMMANDS = (
    list_, show, diff, apply, set_, unset, rollout, restart, resume, history, logs, top, forget, agent,
)  # fmt: skip
