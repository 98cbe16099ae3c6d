#!/usr/bin/env bash
# Explores spec/orders.pml for both kinds of engine, and then each mutation of it,
# which must violate a property. Needs spin and a C compiler.
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD/orders.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# errors NAME MACRO...: explores the model and prints the number of violations.
errors() {
  local name=$1
  shift
  mkdir "$work/$name"
  (
    cd "$work/$name"
    spin -a "$@" "$spec" >spin.out
    cc -w -O2 -DSAFETY -DMEMLIM=2000 -o pan pan.c
    ./pan -E -m100000 -w22 >out 2>&1 || true
    if grep -q -e 'out of memory' -e 'max search depth' out; then echo incomplete; fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' out
  )
}

states() { sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$1/out"; }

for checks in 0 1; do
  if [ "$(errors "holds-$checks" -DCHECKS=$checks)" = 0 ]; then
    echo "holds: CHECKS=$checks: $(states "holds-$checks") states"
  else
    echo "FAILED: CHECKS=$checks"
    failed=1
  fi
done
for mutation in $(grep -o 'MUT_[A-Z_]*' "$spec" | sort -u | grep -v '^MUT_$'); do
  if [ "$(errors "$mutation" -DCHECKS=0 -D"$mutation")" = 1 ]; then
    echo "caught: $mutation after $(states "$mutation") states"
  else
    echo "FAILED: mutation $mutation was not caught"
    failed=1
  fi
done
exit $failed
