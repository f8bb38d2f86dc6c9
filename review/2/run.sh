#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/hyssopsail-platform ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
RECORD="$here/record.txt" exec target/review/standin endless-garbage
