"""Measurements: each module is a command that prints a table, or JSON with --json. None is run by CI.

python -m benchmarks            # all of them, one after the other
python -m benchmarks.rollout    # one
"""
