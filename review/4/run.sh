#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
standins="$ROOT/target/review/standins"
if [ ! -x "$standins" ] || [ ! -x "$ROOT/target/release/jasmineusherd" ]; then
    echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
exec "$standins" readers-turned-away "$here"
