#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/standin .
