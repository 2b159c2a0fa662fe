#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs the output of the deploy file's build only
# when a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/env.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/lab/*.java review/*/*Case.java
