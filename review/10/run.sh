#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -f target/martenslip.jar ] && [ -d target/review-2 ] || { echo "not built" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
# The record of what was sent, answered and run is written to record.txt in this folder.
exec java -Xmx256m -Xss256k -cp target/review-2 Case10 "$here"
