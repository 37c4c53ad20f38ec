#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it
# without the disruption. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")" && [ -x ../bin/driver ] || exit 2
exec ../bin/driver smaller-top ../.. record.txt
