#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2. Needs the JDK only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
source tools/java-home
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/harness-2/*.java)
for case in 6 7 8 9 10; do
  for source in review/"$case"/*.java; do
    [ -f "$source" ] && sources+=("$source")
  done
done
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 "${sources[@]}"
