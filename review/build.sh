#!/bin/sh
# Compiles the stand-ins of the cases into review/bin.
set -e
cd "$(dirname "$0")"
mkdir -p bin
javac -d bin lib/*.java
