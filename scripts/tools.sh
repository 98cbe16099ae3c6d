#!/usr/bin/env bash
# Installs what the checks need beside the Go toolchain, where it is missing.
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
