#!/usr/bin/env bash
# Builds the program that plays the store, the replicas and the clients of the scripts, with the
# project's stand-ins that it links. Nothing is downloaded.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/kit ./review/kit
