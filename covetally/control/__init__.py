"""The sidecar's side of management: it connects to an agent, reports its status and applies revisions."""
