"""Compares the health of instances with and without a change during a rollout. Does no I/O."""

from covetally.release.health import AnswerCounts, HealthResult, HealthStatus, compare_health, variance_inflation

__all__ = ["AnswerCounts", "HealthResult", "HealthStatus", "compare_health", "variance_inflation"]
