#!/bin/bash
# Builds the stand-ins that the cases start. They are a module of their own without
# dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/rig .
