#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-2 ./review/standin-2
