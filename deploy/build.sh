#!/bin/sh
# Puts the pinned libraries and the packages of the workspace into target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -c constraints.txt \
        -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
for package in packages/core/marjoramledge_core \
        packages/store/marjoramledge_store \
        packages/node/marjoramledge_node \
        platform/marjoramledge_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
# Copies of the tree may get other times; the code in it stays the same.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"
