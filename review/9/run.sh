#!/bin/sh
# An override, the control service lost, a new version. TROUBLE=0: the control service stays.
CASE_DRIVER=forgotten-override
. "$(dirname "$0")/../case-2.sh"
