#!/usr/bin/env bash
# Regenerates the committed code under proto/generated from proto/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=proto/generated --grpc_out=proto/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
