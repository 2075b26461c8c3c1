#!/bin/sh
# Builds the stand-ins of the cases 11 and 12 into target/. Run it after the build of the deploy file.
cd "$(dirname "$0")/standin3" || exit 1
CGO_ENABLED=0 GOFLAGS= GOWORK=off exec go build -o ../../target/standin3 .
