#!/bin/sh
# Builds the driver of the scripts, with their stand-ins, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/driver ./review/_driver
