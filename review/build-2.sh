#!/usr/bin/env bash
# Builds the stand-ins of the second review, which its scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_stand2
