#!/usr/bin/env bash
# Builds the stand-ins of cases 4 and following, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-fleet2 ./review/fleet2
