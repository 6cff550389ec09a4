#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruptions.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
[ -x target/review-2/case ] && [ -x target/release/dockwood-platform ] || exit 2
exec target/review-2/case late_orders target/release/dockwood-platform "$folder/record.txt"
