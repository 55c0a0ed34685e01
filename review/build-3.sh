#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3
