#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
test -x build/review-2/case-7 || exit 2
exec build/review-2/case-7 review/7/record.txt
