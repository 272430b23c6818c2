"""Reading of the operators' documents from a folder."""

import collections.abc
import pathlib

from marjoramledge_core import configuration


def read_documents(
    folder: pathlib.Path,
) -> collections.abc.Mapping[str, str]:
    """Read the documents that a folder holds, by file name.

    A document that is missing is left out; the check of the documents then
    reports it along with everything else.
    """
    return {
        name: (folder / name).read_text(encoding="utf-8")
        for name in configuration.FILE_NAMES
        if (folder / name).is_file()
    }
