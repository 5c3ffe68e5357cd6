#!/bin/sh
# Builds the stand-ins and clients of the cases review/4 and up. Run from the repository's root.
set -e
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/src/review2/*.java
