#!/usr/bin/env bash
# Builds the stand-ins that the cases of the review start. The build of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
