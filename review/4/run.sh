#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the
# disruption out. Run the build of the deploy file and review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/foxtaildockd ] || exit 2
exec review/bin/harness --case restart --record review/4/record.txt
