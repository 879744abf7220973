#!/usr/bin/env bash
# Builds the instance's program into target/cuminspur.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package
rm -rf target/cuminspur
mkdir -p target/cuminspur/lib
cp -r platform/target/classes target/cuminspur/classes
cp platform/target/lib/*.jar target/cuminspur/lib/
