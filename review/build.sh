#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. Needs no network.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
for f in "$here"/standin/*.go.txt; do
	cp "$f" "$tmp/$(basename "$f" .txt)"
done
printf 'module standin\n\ngo 1.26\n' >"$tmp/go.mod"
mkdir -p "$here/bin"
cd "$tmp"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o "$here/bin/reviewcase" .
