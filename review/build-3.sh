#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/. They need the
# standard library only. The project's own programs are built by the line of the deploy file.
set -e
cd "$(dirname "$0")/standins-3"
GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/standins-3 .
