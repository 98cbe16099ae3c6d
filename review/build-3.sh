#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-3-rig ./review/rig
