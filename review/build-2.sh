#!/bin/sh
# Builds the stand-ins of the second review: plain Python, standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/common2 review/6 review/7 review/8 review/9
