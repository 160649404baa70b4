#!/usr/bin/env bash
# Fails when src/ contains a string literal that is a name of the platform's
# wire format; such names belong in platform/ only. Every quoted word in
# platform/ that looks like a field, a path or a header is taken for such a
# name, except the usual HTTP terms and generic words in the list below.
set -euo pipefail
cd "$(dirname "$0")/.."
common='^(Authorization|Connection|Keep-Alive|Content-Encoding|Content-Length|Transfer-Encoding|TE|Trailer|Upgrade|Proxy-Connection|Proxy-Authorization|Expect|version|name|service|weight|kind|host|priority|id|address|state|slots|public|next|routes|services|limits|engine|entry|timeout_ms|safe|unsafe|streaming|ready|health_path|max_connections|resumable)$'
names=$(grep -ohE '"/?[A-Za-z][A-Za-z_-]+"' platform/*.cpp platform/*.hpp |
    tr -d '"' | grep -E '[-_/]|^(tenants|sticky|Hold)$' |
    sort -u | grep -vE "$common")
found=0
for name in $names; do
    if grep -rnF --include='*.cpp' --include='*.hpp' "\"$name\"" src; then
        found=1
    fi
done
if ((found)); then
    echo "platform names: the lines above use names of the platform's" \
        "wire format; move them to platform/"
    exit 1
fi
echo "platform names: clean"
