#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2.
# Needs a JDK of release 25 or later; uses nothing but its own classes.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/find-jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 review/rig/*.java
