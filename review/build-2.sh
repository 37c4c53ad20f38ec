#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/driver2 ./review/_driver2
go build -o review/bin/driver3 ./review/_driver3
