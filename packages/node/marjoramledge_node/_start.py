"""Entry point of ``marjoramledge-node``."""

from marjoramledge_node import _absorbed_hangups  # noqa: F401
from marjoramledge_node import _main

main = _main.main
