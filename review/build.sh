#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The programs under test are built
# by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/casekit ./review/casekit
