#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/.." || exit 2
[ -f target/cuminspur/cuminspur.jar ] && [ -f "target/review-2/$2.class" ] || {
  echo "run deploy/build.sh and review/build-2.sh first" | tee "review/$1/record.txt" >&2
  exit 2
}
exec java -Xmx400m -XX:+UseSerialGC -Dlogback.configurationFile=review/second/tst/logback.xml \
  -cp "target/review-2:org.cuminspur.standin/target/classes:org.cuminspur.standin/target/lib/*" "$2" "review/$1"
