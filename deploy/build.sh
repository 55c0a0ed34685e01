#!/bin/sh
# Installs the balancer and its libraries below target/, compiled.
set -eu
deps=target/deps
stamp=$deps/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" \
        --requirement deploy/requirements.txt
    python3 -O -m compileall -q "$deps" || true
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/balsamshed"
cp -R balsamshed "$deps/balsamshed"
find "$deps/balsamshed" -depth -name tests -exec rm -r {} +
find "$deps/balsamshed" -depth -name __pycache__ -exec rm -r {} +
python3 -O -m compileall -q "$deps/balsamshed"
