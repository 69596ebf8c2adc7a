"""Coordination between the sidecars of a tier: membership, outlier detection and shared limits.

See docs/design/tier.md.
"""
