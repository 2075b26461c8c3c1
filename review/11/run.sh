#!/usr/bin/env bash
# Plays consumers whose prompts have many short parts; with TROUBLE=0 prompts of as many tokens in two parts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/front ] && [ -x target/standin3 ] || exit 2
exec target/standin3 memory review/11/record.txt
