#!/bin/sh
# The stand-ins of the review are Python and use the standard library only. This checks that they
# can be loaded, and that the build of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps/marigolddoor_platform ] || { echo "run the build of deploy/system.toml first"; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib python3 -c "import standins" || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c "import marigolddoor_platform" || exit 1
