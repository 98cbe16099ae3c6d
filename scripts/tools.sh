#!/usr/bin/env bash
# Installs the tools that the checks need in addition to the Go toolchain, if missing.
set -euo pipefail
if command -v spin >/dev/null && command -v cc >/dev/null; then
  exit 0
fi
as_root=""
if [ "$(id -u)" != 0 ]; then
  as_root="sudo"
fi
$as_root apt-get update
$as_root apt-get install -y --no-install-recommends spin gcc libc6-dev
