#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
. "$(dirname "$0")/../../bin/env.sh" || exit 2
cd "$root" || exit 2
[ -x target/jre/bin/java ] && [ -f target/review-3/Case15.class ] || exit 2
exec "$JAVA_HOME/bin/java" -Xmx1g -cp target/review-3 Case15 review/15/record.txt
