#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../play-2.sh" 10 deadly
