#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review-2"
javac -d "$root/target/review-2" "$root"/review/kit-2/*.java
