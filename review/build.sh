#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. The routers come from
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin ./review/standin
