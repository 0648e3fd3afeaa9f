#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/harness-2/*.java $(ls review/{6,7,8,9,10}/*.java 2> /dev/null)
