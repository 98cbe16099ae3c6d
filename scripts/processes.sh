# Functions that start and kill the processes of a demonstration. Sourced by the
# other scripts, which set $bin and $dir.

# stop_processes kills the processes that start_processes started.
stop_processes() {
  for file in "$dir"/pids/*; do
    [ -e "$file" ] || continue
    kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
}

# start_processes prepares $dir with the given arguments of "mlctl demo prepare"
# and starts every process listed in $dir/processes. Logs are written to $dir/log.
start_processes() {
  rm -rf "$dir"
  mkdir -p "$dir"
  "$bin/mlctl" demo prepare --dir "$dir" "$@"
  while read -r name program arguments; do
    # "mlctl demo prepare" writes arguments without spaces, so word splitting is safe.
    # shellcheck disable=SC2086
    "$bin/$program" $arguments >"$dir/log/$name" 2>&1 &
    echo $! >"$dir/pids/$name"
  done <"$dir/processes"
  disown -a
}
