# Functions that start and end the processes of a demonstration. Sourced by the
# other scripts, which set $bin and $dir.

# stop_processes ends what start_processes started.
stop_processes() {
  for file in "$dir"/pids/*; do
    [ -e "$file" ] || continue
    kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
}

# start_processes prepares $dir with the given arguments of "mlctl demo prepare"
# and starts every process listed there. Logs stay in $dir/log.
start_processes() {
  rm -rf "$dir"
  mkdir -p "$dir"
  "$bin/mlctl" demo prepare --dir "$dir" "$@"
  while read -r name program arguments; do
    # The arguments are words without spaces, as written by "mlctl demo prepare".
    # shellcheck disable=SC2086
    "$bin/$program" $arguments >"$dir/log/$name" 2>&1 &
    echo $! >"$dir/pids/$name"
  done <"$dir/processes"
  disown -a
}
