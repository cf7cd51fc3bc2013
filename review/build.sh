#!/bin/sh
# Builds the stand-ins of the cases: clients, balancer, executors and the platform's store,
# in one program. It needs no network.
set -e
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/harness .
