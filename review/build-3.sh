#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/13 start; see review/REPORT-3.md.
set -eu
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o rig .
