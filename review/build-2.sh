#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python and need nothing but the interpreter of the deploy file's
# build. The project's own rig is not used.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/6/stand_ins_2
