#!/bin/sh
# Builds the stand-ins of the third review, with the build of the deploy file before.
set -e
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/_stand3
