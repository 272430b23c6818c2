"""Review of a folder of documents, and its comparison with other ones."""

import collections.abc
import dataclasses
import pathlib

from marjoramledge_core import configuration
from returns import result

from marjoramledge_cli import _apply
from marjoramledge_cli import _documents

ReadCurrent = collections.abc.Callable[
    [], result.Result[_apply.CurrentVersion, _apply.Failure]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Review:
    """Findings on a folder; ``changes`` is None if nothing was compared.

    ``base`` describes what the folder was compared with.
    """

    errors: tuple[configuration.Finding, ...]
    warnings: tuple[configuration.Finding, ...]
    base: str = ""
    changes: tuple[configuration.LocatedChange, ...] | None = None


def review_folder(
    folder: pathlib.Path,
    other: pathlib.Path | None = None,
    read_current: ReadCurrent | None = None,
) -> Review:
    """Review a folder and compare it with another or the version in force.

    What can't be read is an error.
    """
    files = _read_folder(folder)
    if isinstance(files, configuration.Finding):
        return Review(errors=(files,), warnings=())
    reviewed = configuration.review_documents(files)
    review = Review(errors=reviewed.errors, warnings=reviewed.warnings)
    if reviewed.configuration is None:
        return review
    if other is not None:
        other_files = _read_folder(other)
        if isinstance(other_files, configuration.Finding):
            return dataclasses.replace(review, errors=(other_files,))
        base = configuration.review_documents(other_files)
        if base.configuration is None:
            errors = tuple(
                dataclasses.replace(error, file=str(other / error.file))
                for error in base.errors
            )
            return dataclasses.replace(review, errors=errors)
        name, declared = str(other), base.configuration
    elif read_current is not None:
        read = read_current()
        if isinstance(read, result.Failure):
            failure = read.failure()
            error = configuration.Finding(
                file="(version in force)",
                key="(file)",
                line=None,
                message="; ".join((failure.error.value, *failure.details)),
            )
            return dataclasses.replace(review, errors=(error,))
        current = read.unwrap()
        if current.manifest is not None and current.declared is None:
            error = configuration.Finding(
                file="(version in force)",
                key="(file)",
                line=None,
                message="is invalid for this release of the command",
            )
            return dataclasses.replace(review, errors=(error,))
        name = f"version {current.ref.version}"
        declared_or_none = current.declared
        changes = configuration.compare_configurations(
            declared_or_none, reviewed.configuration
        )
        return dataclasses.replace(
            review,
            base=name,
            changes=configuration.locate_changes(changes, files),
        )
    else:
        return review
    changes = configuration.compare_configurations(
        declared, reviewed.configuration
    )
    return dataclasses.replace(
        review,
        base=name,
        changes=configuration.locate_changes(changes, files),
    )


def _read_folder(
    folder: pathlib.Path,
) -> collections.abc.Mapping[str, str] | configuration.Finding:
    try:
        return _documents.read_documents(folder)
    except (OSError, UnicodeDecodeError) as error:
        # A UnicodeDecodeError as text could show part of the document.
        reason = (
            "is not UTF-8"
            if isinstance(error, UnicodeDecodeError)
            else error.strerror or "can't be read"
        )
        return configuration.Finding(
            file=str(folder), key="(file)", line=None, message=reason
        )
