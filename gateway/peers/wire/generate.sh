#!/usr/bin/env bash
# Regenerates the protobuf and Twirp code. Requires protoc; the plugins are built
# from the tools module.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../../../tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
PATH="$bin:$PATH" protoc --proto_path=. --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. wire.proto
