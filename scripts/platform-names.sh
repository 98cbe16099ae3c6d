#!/usr/bin/env bash
# Fails when the names of the users' platform stand outside its adapter, the
# stand-ins that speak its protocol, and tests; or when the adapter grows too large.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Kv-(Backup|From|Fetch|Hold)|Attempt-Id|Deadline-Remaining|Response-Signature|Not-Executed|Expected-Instance|Prompt-Prefix|Token-Counts|Pin-Duration|Server-Load|kv-(txn|watch|range|key|lease|keep|move|handle)|"op/config"|"servers/"'
if git grep -nE "$names" -- '*.go' ':!platform' ':!standin' ':!*_test.go'; then
  echo "the platform's names belong into platform/" >&2
  exit 1
fi
most=1500
lines=$(cat platform/*.go | wc -l)
if [ "$lines" -gt "$most" ]; then
  echo "platform/ has $lines lines, more than $most" >&2
  exit 1
fi
