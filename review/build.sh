#!/bin/sh
# Builds the stand-ins of the cases: the platform's store, engines, clients and the supervisor of the instances.
set -eu
cd "$(dirname "$0")/standin"
go build -o ../bin/standin .
