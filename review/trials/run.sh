#!/bin/sh
# Runs one trial: frozen_node, hand_over or silent_store.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins:target/deps \
    exec python3 "review/trials/$1.py"
