#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone. The programs of the deployment are built by the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in mixed acklost evac; do
    rustc --edition 2024 -O -A warnings -o "target/review/$name" "review/standin/$name.rs"
done
