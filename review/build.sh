#!/bin/sh
# Builds the stand-ins that the cases start.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/driver ./review/_driver
