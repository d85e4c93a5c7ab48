#!/bin/sh
# Builds the stand-ins of cases 6 to 10, from any folder: bin/rig2 plays clients, workers, discovery and the platform.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/rig-2
go build -buildvcs=false -o ../../bin/rig2 .
