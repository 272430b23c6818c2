"""Priority of a request."""

import enum


class Priority(enum.IntEnum):
    """Priority of a request; smaller values are served first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    BACKGROUND = 3
