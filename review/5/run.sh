#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec review/bin/driver silent-store "$folder"
