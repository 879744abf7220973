#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -o -q -B -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl org.cuminspur.standin -am package
mkdir -p target/review-2
javac -d target/review-2 -cp "org.cuminspur.standin/target/classes:org.cuminspur.standin/target/lib/*" review/second/tst/*.java
