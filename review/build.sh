#!/usr/bin/env bash
# Compiles the stand-ins and scenarios of the review into target/review; needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn --release 17 -d target/review review/harness/review/*.java
