#!/bin/sh
# Bad clients that name X-Correlation-Id in Connection, then usual ones. TROUBLE=0: the same clients without that header.
CASE_DRIVER=named-id
. "$(dirname "$0")/../case-2.sh"
