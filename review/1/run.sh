#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../stand_ins/run" upload 1
