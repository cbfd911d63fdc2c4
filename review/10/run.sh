#!/usr/bin/env bash
# Plays case 10 after the builds of deploy/system.toml and review/build-2.sh. With TROUBLE=0 it
# plays it without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/probe2 ] && [ -x target/medlardeck ] || exit 2
timeout -k 2 118 target/review-2/probe2 10 review/10
code=$?
[ $code -le 1 ] || exit 2
exit $code
