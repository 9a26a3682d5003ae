#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins (store, workers, clients) are Python and run inside the
# script itself, so there is nothing to compile; the program under test comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins2.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/dandelionmountd
