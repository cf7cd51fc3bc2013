#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/. The programs of the system
# are built by the build line of deploy/system.toml. Nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-standins-2 .
