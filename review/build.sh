#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review/standin .
