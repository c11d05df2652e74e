#!/usr/bin/env bash
# Compiles the stand-ins of the review; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
