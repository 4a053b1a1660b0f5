#!/bin/sh
# Builds the stand-ins of the cases of this review into target/review-3/.
set -e
cd "$(dirname "$0")/.."
go build -tags reviewcase -o target/review-3/case ./review/kit-3
