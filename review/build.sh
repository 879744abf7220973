#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the project's own and those of review/tst.
# Run after the build command of deploy/system.toml; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -o -q -B -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl org.cuminspur.standin -am package
rm -rf target/review
mkdir -p target/review
standin=org.cuminspur.standin/target
javac -cp "$standin/classes:$standin/lib/*" -d target/review review/tst/*.java
cp review/tst/logback.xml target/review/
