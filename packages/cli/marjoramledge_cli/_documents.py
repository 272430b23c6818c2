"""Reading the operator's documents from a folder."""

import collections.abc
import pathlib

from marjoramledge_core import configuration


def read_documents(
    folder: pathlib.Path,
) -> collections.abc.Mapping[str, str]:
    """Read the documents in a folder, by file name.

    A missing document is left out; parsing reports it with all other
    problems.
    """
    return {
        name: (folder / name).read_text(encoding="utf-8")
        for name in configuration.FILE_NAMES
        if (folder / name).is_file()
    }
