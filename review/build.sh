#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library only, so this compiles them.
cd "$(dirname "$0")" && exec python3 -m compileall -q stand_ins 1 2 3
