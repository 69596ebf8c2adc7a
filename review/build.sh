#!/bin/sh
# Builds what the cases start beside the deploy file's build: stand-ins in Python, which need no more than this.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q covetally/rig review
