#!/bin/sh
# Builds the stand-ins of the second review's scripts (folders 6 to 10): they
# are plain Python for the standard library, so they are only compiled.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q rig 6 7 8 9 10
