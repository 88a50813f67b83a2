#!/bin/sh
# Slow readers of long answers, and usual clients. TROUBLE=0: the answers are short.
CASE_DRIVER=slow-readers
. "$(dirname "$0")/../case-2.sh"
