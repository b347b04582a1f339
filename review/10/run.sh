#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program="$PWD/target/apps/mustardproxy/mustardproxy"
harness="$PWD/target/review-3/channels"
[[ -x "$program" && -x "$harness" ]] || exit 2
disruption=with
[[ "${TROUBLE:-1}" == 0 ]] && disruption=without
folder="$(mktemp -d)"
timeout --kill-after=5 115 "$harness" "$program" "$folder" "$here/record.txt" \
  "$disruption"
result=$?
rm -rf "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
