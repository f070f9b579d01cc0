#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review. Run it after deploy/build.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
source tools/java-home
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standins/*.java review/[1-5]/*.java
