#!/usr/bin/env bash
# Runs a small system on this machine until it is stopped: two entries, three
# engines with their agents, and the stand-ins of the platform.
#   scripts/trial.sh start | stop
# Logs, keys and the mlctl settings file (mlctl.json) are written to out/trial.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$PWD/out/trial
. scripts/processes.sh
case "${1:-}" in
  start)
    stop_processes
    start_processes --engines 3
    echo "started; settings of mlctl: out/trial/mlctl.json"
    ;;
  stop)
    stop_processes
    rm -rf "$dir"
    ;;
  *)
    echo "usage: scripts/trial.sh start | stop" >&2
    exit 2
    ;;
esac
