#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -f ../out/MuteConnection.class ] || [ ! -f "$root/target/martenslip.jar" ]; then
    echo "build first: the build line of the deploy file, then review/build.sh" >&2
    exit 2
fi
exec java -Xmx256m -Droot="$root" -Drecord="$PWD/record.txt" -cp ../out MuteConnection
