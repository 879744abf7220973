#!/usr/bin/env bash
# Builds the program of an instance and its class-data archive into target/cuminspur.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform,org.cuminspur.standin -am package
rm -rf target/cuminspur
mkdir -p target/cuminspur/lib
cp -p platform/target/platform-*.jar target/cuminspur/cuminspur.jar
cp -p platform/target/lib/*.jar target/cuminspur/lib/
# The archive halves the processor time of a start. It is optional.
standin=org.cuminspur.standin/target
java -cp "$standin/classes:$standin/lib/*" org.cuminspur.standin.users.ClassArchiveTraining \
  java -Xmx120m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=2 -XX:ReservedCodeCacheSize=16m -XX:-UsePerfData \
  -XX:ArchiveClassesAtExit=target/cuminspur/cuminspur.jsa -jar target/cuminspur/cuminspur.jar \
  || echo "no class-data archive was made" >&2
