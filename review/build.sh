#!/usr/bin/env bash
# Compiles the stand-ins of the cases, after the build of the deploy file. The project's own store stand-in is in its jar.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac --release 17 -cp app/target/quetzalshunt.jar -d review/target/classes review/standins/review/*.java
