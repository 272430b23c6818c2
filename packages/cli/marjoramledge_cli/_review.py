"""Review of a folder of documents, and its comparison with other ones."""

import collections.abc
import dataclasses
import pathlib
import typing

from marjoramledge_core import configuration
from returns import result

from marjoramledge_cli import _apply
from marjoramledge_cli import _documents

IN_FORCE: typing.Final = "(version in force)"

ReadCurrent = collections.abc.Callable[
    [], result.Result[_apply.CurrentVersion, _apply.Failure]
]
Findings = tuple[configuration.Finding, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Review:
    """Findings on a folder; ``changes`` is None if nothing was compared.

    ``base`` describes what the folder was compared with.
    """

    errors: Findings
    warnings: Findings
    base: str = ""
    changes: tuple[configuration.LocatedChange, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Base:
    """What a folder is compared with; nothing is declared in version 0."""

    name: str
    declared: configuration.Configuration | None


def review_folder(
    folder: pathlib.Path,
    other: pathlib.Path | None = None,
    read_current: ReadCurrent | None = None,
) -> Review:
    """Review a folder and compare it with another or the version in force.

    What can't be read is an error.
    """
    read = _read_folder(folder)
    if isinstance(read, result.Failure):
        return Review(errors=read.failure(), warnings=())
    files = read.unwrap()
    reviewed = configuration.review_documents(files)
    review = Review(errors=reviewed.errors, warnings=reviewed.warnings)
    if reviewed.configuration is None:
        return review
    if other is not None:
        found = _load_folder(other)
    elif read_current is not None:
        found = _load_current(read_current)
    else:
        return review
    if isinstance(found, result.Failure):
        return dataclasses.replace(review, errors=found.failure())
    base = found.unwrap()
    changes = configuration.compare_configurations(
        base.declared, reviewed.configuration
    )
    return dataclasses.replace(
        review,
        base=base.name,
        changes=configuration.locate_changes(changes, files),
    )


def _load_folder(folder: pathlib.Path) -> result.Result[_Base, Findings]:
    read = _read_folder(folder)
    if isinstance(read, result.Failure):
        return result.Failure(read.failure())
    reviewed = configuration.review_documents(read.unwrap())
    if reviewed.configuration is None:
        return result.Failure(
            tuple(
                dataclasses.replace(error, file=str(folder / error.file))
                for error in reviewed.errors
            )
        )
    return result.Success(
        _Base(name=str(folder), declared=reviewed.configuration)
    )


def _load_current(read_current: ReadCurrent) -> result.Result[_Base, Findings]:
    read = read_current()
    if isinstance(read, result.Failure):
        failure = read.failure()
        message = "; ".join((failure.error.value, *failure.details))
        return result.Failure(_build_error(IN_FORCE, message))
    current = read.unwrap()
    if current.manifest is not None and current.declared is None:
        return result.Failure(
            _build_error(IN_FORCE, "this command finds its documents invalid")
        )
    return result.Success(
        _Base(name=f"version {current.ref.version}", declared=current.declared)
    )


def _read_folder(
    folder: pathlib.Path,
) -> result.Result[collections.abc.Mapping[str, str], Findings]:
    try:
        return result.Success(_documents.read_documents(folder))
    except UnicodeDecodeError:
        # The text of the exception could show a part of the document.
        return result.Failure(_build_error(str(folder), "is not UTF-8"))
    except OSError as error:
        message = error.strerror or "can't be read"
        return result.Failure(_build_error(str(folder), message))


def _build_error(file: str, message: str) -> Findings:
    return (
        configuration.Finding(
            file=file, key="(file)", line=None, message=message
        ),
    )
