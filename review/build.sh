#!/bin/sh
# Builds the stand-ins of the cases, which are one program in a module of its own, after the build of the deploy file. They use the
# standard library alone, so that this needs no network.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
go build -o ../bin/rig .
