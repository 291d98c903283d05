#!/usr/bin/env bash
exec "$(dirname "$0")/../stand_ins/run" silence 2
