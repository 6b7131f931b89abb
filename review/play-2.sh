#!/usr/bin/env bash
# play-2.sh FOLDER CASE: plays a case of the second review against the program
# of the deploy file. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
cd "$(dirname "$0")/.." || exit 2
gateway=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
cases=target/review-2/cases
if [ ! -x "${gateway%% *}" ] || [ ! -x "$cases" ]; then
  echo "build first: the deploy file's build line, then review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
timeout -k 2 110 "$cases" "$2" "$gateway" "$folder" "review/$1/record.txt"
code=$?
rm -rf "$folder"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
