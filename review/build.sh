#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/platform/lib/*" review/standin/*.java
