#!/bin/sh
# Builds the stand-ins of the review's scripts, from any folder.
set -e
cd "$(dirname "$0")/.."
for n in 1 2 3 4 5; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review/case$n" "./review/$n"
	fi
done
