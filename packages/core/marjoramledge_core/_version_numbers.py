"""Version numbers of a store that may be restored from an older copy.

Such a store counts its writes with one number, which goes back when the store
is restored, and counts its restorations with another, its era.  Numbers of
different eras can't be compared, and the same number may name two contents.
A version is therefore ordered by its era first, and then by its number.
"""

import typing

from marjoramledge_core import _ids

# Era of a version of a store that names no era.
UNKNOWN_ERA: typing.Final = 0
_NUMBER_BITS: typing.Final = 40
_NUMBER_MASK: typing.Final = (1 << _NUMBER_BITS) - 1


def pack_version(era: int, number: int) -> _ids.ConfigVersion:
    """Combine an era, and a number that was given out in it."""
    return _ids.ConfigVersion(era << _NUMBER_BITS | number & _NUMBER_MASK)


def era_of(version: _ids.ConfigVersion) -> int:
    """Return the era of a version, or ``UNKNOWN_ERA``."""
    return version >> _NUMBER_BITS


def number_of(version: _ids.ConfigVersion) -> int:
    """Return the number of a version within its era."""
    return version & _NUMBER_MASK


def assume_era(
    version: _ids.ConfigVersion, other: _ids.ConfigVersion
) -> _ids.ConfigVersion:
    """Return a version without an era as one of the era of another."""
    if not version or era_of(version) != UNKNOWN_ERA:
        return version
    return pack_version(era_of(other), number_of(version))


def format_version(version: _ids.ConfigVersion) -> str:
    """Format a version for operators: its number, and its era if known."""
    era = era_of(version)
    number = number_of(version)
    return str(number) if era == UNKNOWN_ERA else f"{number} of era {era}"
