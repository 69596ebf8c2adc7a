"""The real sidecar: sockets, time and processes round the decisions of `balance.py`."""
