#!/bin/sh
# Builds the stand-ins of the scripted cases: the platform's store, the operator, the
# servers and the clients, in one program. It needs no network and no module.
set -e
cd "$(dirname "$0")/.harness"
mkdir -p ../../target/review
CGO_ENABLED=0 go build -o ../../target/review/harness .
