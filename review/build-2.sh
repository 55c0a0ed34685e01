#!/bin/sh
# Compiles the stand-ins of cases 6 to 10; they need Python 3.11, nothing else.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins standins_2
for number in 6 7 8 9 10; do
    if [ -f "$number/case.py" ]; then
        python3 -m py_compile "$number/case.py"
    fi
done
