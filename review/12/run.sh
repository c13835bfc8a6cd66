#!/bin/sh
exec "$(dirname "$0")/../common-3/run-case.sh" partial-entry review/12
