#!/usr/bin/env bash
# Explores spec/calls.pml within its bounds, and then each mutation of it, which
# must violate a property. Needs spin and a C compiler. With "deep" it also
# explores larger bounds, which takes a few minutes and 4 GB.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# explore NAME OPTIMISATION [MACRO...]: writes the output of the search to $work/NAME.
explore() {
  local name=$1 optimisation=$2
  shift 2
  mkdir "$work/$name.d"
  (
    cd "$work/$name.d"
    spin -a "$@" "$OLDPWD/calls.pml" >spin.out
    cc -w "$optimisation" -DSAFETY -DMEMLIM=4000 -o pan pan.c
    ./pan -m100000 -w24
  ) >"$work/$name" 2>&1 || true
}

errors() { sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/$1"; }
states() { sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$1"; }
seconds() { sed -n 's/.*elapsed time \([0-9.]*\) seconds/\1/p' "$work/$1"; }

failed=0

# holds NAME [MACRO...]: the whole state space must be free of violations.
holds() {
  local name=$1
  shift
  explore "$name" -O2 "$@"
  set -- "$name"
  if [ "$(errors "$1")" != 0 ] || grep -q -e 'out of memory' -e 'max search depth' -e 'search depth too small' "$work/$1"; then
    echo "FAILED: $1"
    cat "$work/$1"
    failed=1
    return
  fi
  echo "holds: $1: $(states "$1") states in $(seconds "$1") s"
}

# caught MUTATION: the search must find a violation in the mutated model.
caught() {
  explore "$1" -O0 -D"$1"
  if [ "$(errors "$1")" != 1 ]; then
    echo "FAILED: mutation $1 was not caught"
    tail -5 "$work/$1"
    failed=1
    return
  fi
  echo "caught: $1 after $(states "$1") states: $(sed -n 's/pan:[0-9]*: \(assertion violated.*\) (at depth.*/\1/p' "$work/$1")"
}

holds "two entries with one submission each, two reservations"
if [ "${1:-}" = deep ]; then
  holds "two entries, one with two submissions, two reservations" -DFIRST_SUBMISSIONS=2
fi
for mutation in $(grep -o 'MUT_[A-Z_]*' calls.pml | sort -u | grep -v '^MUT_$'); do
  caught "$mutation"
done
exit $failed
