#!/bin/sh
# Builds the stand-ins that the scripts of REPORT-3 start: plain Python of the standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-3 1[1-5]
