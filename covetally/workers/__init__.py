"""Runs one sidecar on several cores: a supervisor and worker processes that share one listening address."""
