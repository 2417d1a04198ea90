#!/bin/sh
# Builds the driver of the scripts, a test binary with their stand-ins, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go test -c -o review/bin/driver ./review/_driver
