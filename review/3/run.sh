#!/usr/bin/env bash
# Stops a VM with SIGTERM while clients are in transactions; TROUBLE=0 leaves the signal out.
# Exits with 1 if requests were cut off without an answer, 0 if not, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
source bin/find-jdk || exit 2
if [ ! -d review/target ] || [ ! -x target/runtime/bin/java ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 110 "$JAVA_HOME/bin/java" -cp review/target CutAtShutdown "$here/record.txt"
status=$?
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
