"""Reads the files of a declaration."""

import json
import tomllib
from pathlib import Path
from typing import Any

from marigolddoor_core.operations.requests import DeclarationSource

from marigolddoor_operator.errors import InputFileError

__all__ = ["read_declaration_files"]

TEMPLATE_KEY = "template"


def read_declaration_files(organisation: Path, template: Path | None) -> DeclarationSource:
    """Return the parsed files; the organisation file names the template, relative to its folder.

    Raises:
      InputFileError: a file can't be read or isn't TOML, or no template is named.
    """
    values = _read(organisation)
    if template is None:
        named = values.get(TEMPLATE_KEY)
        if not isinstance(named, str) or not named or "\0" in named:
            raise InputFileError(
                f"{organisation}: template is {named!r}; allowed: the name of the template file"
            )
        template = organisation.parent / named
    return DeclarationSource(values, _read(template), organisation.name, template.name)


def _read(file: Path) -> dict[str, Any]:
    try:
        values = tomllib.loads(file.read_bytes().decode())
    except OSError as error:
        raise InputFileError(f"{file}: can't be read ({error.strerror})") from error
    except ValueError as error:
        raise InputFileError(f"{file}: not TOML in UTF-8 ({error})") from error
    try:
        # The files are sent as JSON, which has no dates, times or infinite numbers.
        json.dumps(values, allow_nan=False)
    except (TypeError, ValueError) as error:
        raise InputFileError(
            f"{file}: has a date, a time or an infinite number; allowed: text, finite numbers, "
            "true, false, lists and tables"
        ) from error
    return values
