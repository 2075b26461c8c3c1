#!/usr/bin/env bash
# Plays consumers that charge hires while one instance of the service fails a part of its requests; with TROUBLE=0 none fails.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/front ] && [ -x target/standin3 ] || exit 2
exec target/standin3 unmarked review/11/record.txt
