#!/usr/bin/env bash
# Fails when the platform's names are used outside platform/, or when an event of the gateway's log is not explained.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Request-Attempt-Id|Deadline-Remaining-Ms|Server-Signature|Expect-Instance|Server-Load|Not-Executed|Cold-Remaining|Shard-Key|"/-/|path-prefix|traffic-split|target-latency|cold-remaining|TEASELCROSS_BOOT|Teaselcross-Credential|Tenant-Name|"tenants"|"api-keys"|strict-revoke|"revoke-s"'
if grep -rnE "$names" src --include='*.h' --include='*.cpp'; then
    echo "the platform's names belong into platform/" >&2
    exit 1
fi
missing=0
while read -r event; do
    grep -qw "$event" docs/OPERATIONS.md || { echo "docs/OPERATIONS.md does not explain the event $event" >&2; missing=1; }
done < <(grep -rhoE 'log::(info|warning|error)\(([a-z]+ \? )?"[a-z_]+"( : "[a-z_]+")?' src/teaselcross/gateway src/teaselcross/http \
    src/teaselcross/logging/direct_log.cpp | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u)
[[ $missing == 0 ]] && echo "words: the platform's names and the log's events are where they belong"
