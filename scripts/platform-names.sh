#!/usr/bin/env bash
# Fails if names of the users' platform are used outside its adapter, the stand-ins
# that implement its protocol, and tests, or if the adapter grows too large.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Kv-(Backup|From|Fetch|Hold)|Server-Leaving|Attempt-Id|Deadline-Remaining|Response-Signature|Not-Executed|Expected-Instance|Prompt-Prefix|Token-Counts|Pin-Duration|Server-Load|kv-(txn|watch|range|key|lease|keep|move|handle)|"op/config"|"(op|status)/rollout/"?|"servers/"'
if git grep -nE "$names" -- '*.go' ':!platform' ':!standin' ':!*_test.go'; then
  echo "names of the users' platform are used outside platform/, standin/ and tests" >&2
  exit 1
fi
max_lines=1500
lines=$(cat platform/*.go | wc -l)
if [ "$lines" -gt "$max_lines" ]; then
  echo "platform/ has $lines lines, more than $max_lines" >&2
  exit 1
fi
