"""The sidecar's side of management: it dials out to an agent, tells it what it is, and takes revisions."""
