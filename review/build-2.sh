#!/usr/bin/env bash
# Builds what the scripts in review/6 and later start besides the programs of the deploy file:
# the stand-ins of the store, the replicas and the clients, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
mkdir -p target/review-2
go test -c -tags review2 -o target/review-2/cases ./review/standins-2
