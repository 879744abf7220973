# Runs the case of a class; sourced by the run.sh of each case, which sets main.
cd "$(dirname "$0")/../.."
standin=org.cuminspur.standin/target
exec java -cp "target/review:$standin/classes:$standin/lib/*" "$main" "$folder"
