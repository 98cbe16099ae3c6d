#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program that holds clients, replicas, store and
# judge. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-2-bed ./review/bed
