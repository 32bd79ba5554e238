#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts under review/target/, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/find-jdk
rm -rf review/target
mkdir -p review/target
"$JAVA_HOME/bin/javac" -d review/target review/standin/*.java
