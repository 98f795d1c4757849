#!/usr/bin/env bash
# Regenerates modules/bbv_wire/wire_generated.h; needs flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/../modules/bbv_wire"
flatc --cpp --gen-object-api --scoped-enums --gen-compare --cpp-std c++17 wire.fbs
