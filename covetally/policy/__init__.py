"""The decisions of one sidecar: which server gets a request, whether to retry it, what to refuse. No I/O."""

from covetally.policy.balancer import Balancer

__all__ = ["Balancer"]
