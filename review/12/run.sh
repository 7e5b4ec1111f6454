#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
if [ ! -d target/review-3 ] || [ ! -f target/platform/dandelionport-platform.jar ]; then
  echo "build with the command of deploy/system.toml, then with review/build-3.sh" >&2
  exit 2
fi
exec java -cp target/review-3 review3.RebornKind "$case_dir"
