"""The real sidecar: sockets, time and processes round the decisions of `covetally/policy`."""
