#!/usr/bin/env bash
# Generates generated/*_generated.h from the FlatBuffers schemas. Needs the
# Debian package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --object-suffix _msg \
    --scoped-enums -o generated src/messages/messages.fbs \
    src/messages/records.fbs
