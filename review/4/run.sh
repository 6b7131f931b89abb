#!/usr/bin/env bash
# Case 4. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out; SEED sets the seed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/platform/basilvalve-gateway ] || {
  echo "build first: the build line of deploy/system.toml, then review/build.sh"
  exit 2
}
exec target/review/standin seldom-deadly-part review/4
