"""One sidecar on several cores: a supervisor, and workers that share one listening address."""
