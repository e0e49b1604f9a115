#!/bin/sh
# Builds the stand-ins of the cases; needs rustc alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -A warnings standins.rs -o bin/standins
