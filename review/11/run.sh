#!/bin/sh
exec "$(dirname "$0")/../common-3/run-case.sh" two-replaced review/11
