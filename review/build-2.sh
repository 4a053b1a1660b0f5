#!/bin/sh
# Builds the stand-ins and checks of the script cases of the second review into target/. It needs the
# build of the deploy file for the front ends themselves, and no network.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/kit2 ./review/kit-2
