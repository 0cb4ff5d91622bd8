"""The files of a declaration."""

import tomllib
from pathlib import Path
from typing import Any

from marigolddoor_core.operations.requests import DeclarationSource

from marigolddoor_operator.errors import InputFileError

__all__ = ["read_declaration_files"]

DEFAULT_TEMPLATE = "template.toml"


def read_declaration_files(organisation: Path, template: Path | None) -> DeclarationSource:
    """Return the parsed files; the template is beside the organisation unless it is named.

    Raises:
      InputFileError: a file can't be read or isn't TOML.
    """
    chosen = organisation.parent / DEFAULT_TEMPLATE if template is None else template
    return DeclarationSource(_read(organisation), _read(chosen), organisation.name, chosen.name)


def _read(file: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(file.read_bytes().decode())
    except OSError as error:
        raise InputFileError(f"{file}: can't be read ({error.strerror})") from error
    except ValueError as error:
        raise InputFileError(f"{file}: not TOML in UTF-8 ({error})") from error
