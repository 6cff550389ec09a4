#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the standard library only, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = fleet ] || rustc --edition 2024 -O "$source" -o "target/review/$name"
done
