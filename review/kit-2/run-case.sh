#!/usr/bin/env bash
# Runs the case CLASS, which writes to the file RECORD: exit 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
set -uo pipefail
class=$1
record=$2
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
if [ ! -f "$root/target/review-2/$class.class" ] || [ ! -f "$root/target/router/router-0.1.0-all.jar" ]; then
    echo "build with the build command of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout --kill-after=3 112 java -Xmx256m -Dreview.root="$root" -cp "$root/target/review-2" "$class" "$record" "${@:3}"
result=$?
if [ "$result" -gt 2 ]; then
    echo "the case was cut off with exit $result" >> "$record"
    result=2
fi
exit "$result"
