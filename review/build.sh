#!/bin/sh
# Compiles the stand-ins of the cases; they need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
