"""Checks that names of the platform's API occur in its adapter only.

The rest of the product uses its own names; a name of the platform elsewhere
means that a value was not decoded at the boundary.
"""

import pathlib
import re
import subprocess
import sys
import typing

NAMES: typing.Final = re.compile(
    r"Request-Id|(?<![-\w])Deadline-Ms|Target-Instance|Caller-Service"
    r"|Response-Seal|Not-Executed|Server-Load|Cold-Ms|Instance-Id"
    # In lower case these are names of the product.
    r"|(?-i:Server-(?:Limit|Leaving))"
    r"|MARJORAMLEDGE_BOOT|rows-(?:tx|get|feed|parts)"
    r"|blob-(?:put|get|drop|list)|heartbeatAddr|trafficSplit|pathPrefix"
    r"|coldPerS|coldLeft|apiKeys|ratePerS|strictRevoke"
    r"|targetLatency|appAddr|op/(?:config|evacuate)",
    re.IGNORECASE,
)
# Tests of the adapter and the operators' documentation need the names.
ALLOWED: typing.Final = re.compile(
    r"(?:platform|deploy|journal|docs)/|KNOWN-RED|README"
    r"|tests/(?:.*/)?[^/]*platform|tools/[^/]*platform"
)


def find_uses(names: list[str]) -> list[str]:
    """Return the places where files use a name of the platform."""
    uses = []
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
                uses.append(f"{name}:{number}: {found.group()}")
    return uses


def main() -> int:
    """Check all files under version control and return the exit status."""
    listed = subprocess.run(
        ["git", "ls-files"], capture_output=True, text=True, check=True
    )
    uses = find_uses(listed.stdout.split("\n"))
    for use in uses:
        print(f"{use} must not be used outside platform/", file=sys.stderr)
    return 1 if uses else 0


if __name__ == "__main__":
    sys.exit(main())
