#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. The project's program is built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./review/driver2
