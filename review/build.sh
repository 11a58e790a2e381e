#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the JDK alone. The router itself is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/kit/*.java review/[1-5]/*.java
