#!/usr/bin/env bash
# Builds review/6/.harness: the clients, servers and the store that the cases 6 to 10 start, into
# target/review-2. The store is platform/standin of this project. It needs no network if
# the build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/harness-2 ./review/6/.harness
