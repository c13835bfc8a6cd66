#!/bin/sh
exec "$(dirname "$0")/../common-3/run-case.sh" largest-version review/15
