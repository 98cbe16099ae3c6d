#!/usr/bin/env bash
# Measures cost slopes on a small and a large fleet of separate processes and rewrites
# the tables in docs/CAPACITY.md. Takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
. scripts/processes.sh
dir=$PWD/out/slopes
trap stop_processes EXIT
for engines in 4 12; do
  dir=$PWD/out/slopes-$engines
  start_processes --entries 1 --engines "$engines" --applications 0
  "$bin/mlctl" bench slopes measure --dir "$dir" --out "out/slopes-$engines.json"
  stop_processes
done
"$bin/mlctl" bench slopes fit out/slopes-4.json out/slopes-12.json --write docs/CAPACITY.md
"$bin/mlctl" bench slopes fit out/slopes-4.json out/slopes-12.json
