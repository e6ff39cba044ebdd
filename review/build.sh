#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK="$PWD/go.work" GOFLAGS="${GOFLAGS:--mod=readonly}" go build -o bin/cases ./cases
