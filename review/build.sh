#!/bin/sh
# Builds the stand-ins of all cases with the JDK alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -Xlint:all -d build src/*.java
