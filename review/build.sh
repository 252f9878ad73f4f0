#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand
GOFLAGS=-buildvcs=false go build -o ../../target/reviewstand .
