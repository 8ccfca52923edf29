#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption. It needs target/pistachiowind-gateway, from the build of
# the deploy file, and review/bin/kit, from review/build.sh. What happened is in record.txt.
cd "$(dirname "$0")" || exit 2
for program in ../../target/pistachiowind-gateway ../bin/kit; do
  [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
timeout -k 5 115 ../bin/kit crashes ../../target/pistachiowind-gateway record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
