#!/bin/sh
# The scripts' stand-ins are in Python and need no build; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c "import standins"
