"""Checks that the platform's names stay in the folder that translates them.

The product speaks with names of its own; a name of the platform elsewhere
means that something was not decoded at the boundary.
"""

import pathlib
import re
import subprocess
import sys
import typing

NAMES: typing.Final = re.compile(
    r"Request-Id|(?<![-\w])Deadline-Ms|Target-Instance|Caller-Service"
    r"|Response-Seal|Not-Executed|Server-Load|Cold-Ms|Instance-Id"
    r"|MARJORAMLEDGE_BOOT|rows-(?:tx|get|feed|parts)"
    r"|blob-(?:put|get|drop|list)|heartbeatAddr|trafficSplit|pathPrefix"
    r"|coldPerS|coldLeft|targetLatency|appAddr|op/(?:config|evacuate)",
    re.IGNORECASE,
)
# Tests of the adapter and pages for its operators need the names.
ALLOWED: typing.Final = re.compile(
    r"(?:platform|deploy|journal|docs)/|KNOWN-RED|README"
    r"|tests/(?:.*/)?[^/]*platform|tools/[^/]*platform"
)


def find_places(names: list[str]) -> list[str]:
    """List where files name what belongs to the platform."""
    places = []
    for name in names:
        if not name or ALLOWED.match(name):
            continue
        try:
            text = pathlib.Path(name).read_text(encoding="utf-8")
        except (UnicodeDecodeError, FileNotFoundError):
            continue
        for number, line in enumerate(text.splitlines(), 1):
            found = NAMES.search(line)
            if found is not None:
                places.append(f"{name}:{number}: {found.group()}")
    return places


def main() -> int:
    """Check all files under version control; return the exit status."""
    listed = subprocess.run(
        ["git", "ls-files"], capture_output=True, text=True, check=True
    )
    places = find_places(listed.stdout.split("\n"))
    for place in places:
        print(f"{place} stands outside platform/", file=sys.stderr)
    return 1 if places else 0


if __name__ == "__main__":
    sys.exit(main())
