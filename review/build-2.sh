#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. Their sources speak the
# platform's protocol, and so have another ending than .go: they are copied to a temporary
# folder and built there, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
for source in review/standin-2/*.go.txt; do
    cp "$source" "$build/$(basename "$source" .txt)"
done
printf 'module review.example/standin\n\ngo 1.24\n' >"$build/go.mod"
mkdir -p target/review-2
out="$PWD/target/review-2/standin"
cd "$build"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o "$out" .
