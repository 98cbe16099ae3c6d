#!/usr/bin/env bash
# Runs the demonstration: starts the real daemons and the stand-ins as separate
# processes, sends requests and injects faults, and kills the processes that it
# started. Logs remain in out/demo.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$PWD/out/demo
. scripts/processes.sh
trap stop_processes EXIT
start_processes
"$bin/mlctl" demo drive --dir "$dir"
