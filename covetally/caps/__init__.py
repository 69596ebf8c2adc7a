"""Limits how many connections a tenant may hold over all sidecars, in units owned by a few of them. No I/O."""

from covetally.caps.member import Cap, CapsMember
from covetally.caps.rule import Mode, Rule

__all__ = ["Cap", "CapsMember", "Mode", "Rule"]
