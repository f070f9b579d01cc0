#!/usr/bin/env bash
# Runs the case whose class and folder are given; called by the scripts of the cases.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
(source tools/java-home) || exit 2
source tools/java-home
export TROUBLE=${TROUBLE:-1}
if [ ! -f target/lib/node.jar ] || [ ! -f "target/review/review/$1.class" ]; then
  echo "run deploy/build and review/build.sh first" >&2
  exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx512m -cp target/review "review.$1" "review/$2"
