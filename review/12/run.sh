#!/bin/sh
exec "$(dirname "$0")/../common-3/run-case.sh" returned-voter review/12
