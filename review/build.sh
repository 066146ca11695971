#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. The programs under test are built by the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
