#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2. Run it after
# the build of deploy/system.toml, whose libraries it uses.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp "target/platform/lib/*" review/standin-2/*.java
