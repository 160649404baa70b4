#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
            grep -q 'ok installed'; then
        missing+=("$package")
    fi
done < <(grep -v '^#' packages.txt)
if ((${#missing[@]} == 0)); then
    exit 0
fi
echo "installing: ${missing[*]}"
as_root=()
if (($(id -u) != 0)); then
    as_root=(sudo)
fi
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q \
    --no-install-recommends "${missing[@]}"
