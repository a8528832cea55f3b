#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The rig has no dependency beside Go's own library.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o ../../target/review/rig .
