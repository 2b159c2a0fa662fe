#!/usr/bin/env bash
# Compiles the stand-ins and cases of the second review into target/review-2. Needs the build of the deploy file, whose
# libraries in target/lib the stand-ins use.
set -euo pipefail
. "$(dirname "$0")/../bin/env.sh"
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
"$JAVA_HOME/bin/javac" --release 21 -Xlint:all,-path,-processing -cp "target/lib/*" -d "$out" \
    review/lab-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
