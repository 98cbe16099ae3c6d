#!/usr/bin/env bash
# Scores all deployments that are in force, one after the other, or hunts for days that
# break a rule. Needs the users' bench and their pages:
#   BENCH=.../fleetbench PAGES=.../system scripts/score.sh score "why" [options of the bench]
#   BENCH=.../fleetbench PAGES=.../system scripts/score.sh hunt "why"
set -euo pipefail
cd "$(dirname "$0")/.."
verb=$1
why=$2
shift 2
# Deployments of 60 hosts or more are hunted on 8 days, the others on 40.
while read -r days site; do
  case $verb in
    score) "$BENCH" score "$PAGES/$site" --why "$why" "$@" ;;
    hunt) "$BENCH" hunt "$PAGES/$site" --days "$days" --why "$why" "$@" ;;
    *)
      echo "usage: score.sh score|hunt WHY [options of the bench]" >&2
      exit 2
      ;;
  esac
done <<SITES
40 sites/lakkos-mulberry.toml
40 sites/vasilescu-inscrieri.toml
8 grown/lakkos-mulberry-grown.toml
8 grown/vasilescu-inscrieri-grown.toml
8 large/lakkos-mulberry-large.toml
8 demands/kitaboshi-catalogue-grown.toml
8 demands/sabarmati-lic-grown.toml
SITES
