#!/usr/bin/env bash
# Runs the demonstration: starts the real daemons and the stand-ins as separate
# processes, drives them, and ends what it started. Logs stay in out/demo.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$PWD/out/demo
rm -rf "$dir"
mkdir -p "$dir"

stop_all() {
  for file in "$dir"/pids/*; do
    [ -e "$file" ] || continue
    kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
}
trap stop_all EXIT

"$bin/mlctl" demo prepare --dir "$dir"
while read -r name program arguments; do
  # The arguments are words without spaces, as written by "mlctl demo prepare".
  # shellcheck disable=SC2086
  "$bin/$program" $arguments >"$dir/log/$name" 2>&1 &
  echo $! >"$dir/pids/$name"
done <"$dir/processes"
disown -a
"$bin/mlctl" demo drive --dir "$dir"
