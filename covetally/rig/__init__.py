"""Stand-ins for what the sidecar talks to, faults to put between, load, and the account that judges it all.

Nothing here shares code with the sidecar: it reads and writes the public protocol by its own parsing, so that
it can disagree with the sidecar.
"""
