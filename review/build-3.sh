#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/driver4 ./review/_driver4
