#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/DiscoveryReturns.class ] && [ -f target/leadferry.jsa ] || exit 2
exec java -Xmx512m -cp target/review-2 DiscoveryReturns review/10/record.txt
