"""Settings of the command line: endpoints, token and certificate authority.

Example:
  endpoints = ["https://10.0.0.5:7200", "https://10.1.0.5:7200"]
  token_file = "token"
  authority = "authority.pem"
"""

import os
import stat
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from marigolddoor_operator.errors import OperatorSettingsError

__all__ = ["SETTINGS_VARIABLE", "OperatorSettings", "load_operator_settings"]

SETTINGS_VARIABLE = "MARIGOLDDOOR_SETTINGS"
DEFAULT_FILE = ".config/marigolddoor/operator.toml"
KEYS = ("authority", "endpoints", "timeout_s", "token_file")
# Exceeds the 5 s within which a control process answers a change or reports it as unknown.
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 300.0
PRIVATE_MODE = 0o600


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Endpoints and credentials. Endpoints are tried in their order."""

    endpoints: tuple[str, ...]
    token: str = field(repr=False)
    authority: Path | None
    timeout_s: float


def load_operator_settings(
    file: Path | None,
    endpoints: Sequence[str],
    token_file: Path | None,
    environment: Mapping[str, str],
) -> OperatorSettings:
    """Return the settings of the file; options of the command line take precedence.

    Args:
      file: the settings file; without it, the one that `MARIGOLDDOOR_SETTINGS` names or
        `~/.config/marigolddoor/operator.toml`, if it exists.
      endpoints: endpoints from the command line; they replace those of the file.
      token_file: a token file from the command line.
      environment: the environment variables.

    Raises:
      OperatorSettingsError: the settings are invalid; it lists every problem.
    """
    path, required = _settings_path(file, environment)
    values = _read_values(path, required)
    problems = [f"{path}: {key} is not a key; allowed: {', '.join(KEYS)}" for key in values
                if key not in KEYS]  # fmt: skip
    folder = path.absolute().parent
    settings = OperatorSettings(
        endpoints=_endpoints(tuple(endpoints) or values.get("endpoints", ()), problems),
        token=_token(token_file or _path(values, "token_file", folder, problems), problems),
        authority=_authority(_path(values, "authority", folder, problems), problems),
        timeout_s=_timeout(values.get("timeout_s", DEFAULT_TIMEOUT_S), problems),
    )
    if problems:
        raise OperatorSettingsError(*problems)
    return settings


def _settings_path(file: Path | None, environment: Mapping[str, str]) -> tuple[Path, bool]:
    if file is not None:
        return file, True
    if environment.get(SETTINGS_VARIABLE):
        return Path(environment[SETTINGS_VARIABLE]), True
    return Path(environment.get("HOME", ".")) / DEFAULT_FILE, False


def _read_values(path: Path, required: bool) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_bytes().decode())
    except FileNotFoundError:
        if not required:
            return {}
        raise OperatorSettingsError(f"{path}: no such file") from None
    except OSError as error:
        raise OperatorSettingsError(f"{path}: can't be read ({error.strerror})") from error
    except ValueError as error:
        raise OperatorSettingsError(f"{path}: not TOML in UTF-8 ({error})") from error


def _endpoints(values: Any, problems: list[str]) -> tuple[str, ...]:
    if not isinstance(values, list | tuple) or not values:
        problems.append("no endpoint; give --endpoint URL or the key endpoints in the settings")
        return ()
    for value in values:
        if not isinstance(value, str) or not _is_endpoint(value):
            problems.append(f"endpoint {value!r}; allowed: http://IP:PORT or https://IP:PORT")
    return tuple(str(value).rstrip("/") for value in values)


def _is_endpoint(value: str) -> bool:
    try:
        parts = urlsplit(value)
        return (
            parts.scheme in ("http", "https")
            and bool(parts.hostname)
            and (parts.port is None or parts.port > 0)
            and parts.path in ("", "/")
            and not parts.query
            and parts.username is None
        )
    except ValueError:
        return False


def _path(values: dict[str, Any], key: str, folder: Path, problems: list[str]) -> Path | None:
    value = values.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not value or "\0" in value:
        problems.append(f"{key} is {value!r}; allowed: a path")
        return None
    return folder / value


def _token(path: Path | None, problems: list[str]) -> str:
    if path is None:
        problems.append("no token; give --token-file FILE or the key token_file in the settings")
        return ""
    try:
        with open(path, "rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            token = file.read().decode("ascii").strip()
    except OSError as error:
        problems.append(f"{path}: can't be read ({error.strerror})")
        return ""
    except UnicodeDecodeError:
        token, mode = "", PRIVATE_MODE
    if mode != PRIVATE_MODE:
        problems.append(f"{path}: has mode {mode:04o}; allowed: 0600")
    if not token or len(token.split()) != 1:
        problems.append(f"{path}: no valid token; allowed: one token in printable characters")
        return ""
    return token


def _authority(path: Path | None, problems: list[str]) -> Path | None:
    if path is not None and not path.is_file():
        problems.append(f"authority is {path}; allowed: a file in PEM format")
    return path


def _timeout(value: Any, problems: list[str]) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 < value <= MAX_TIMEOUT_S:
        return float(value)
    problems.append(f"timeout_s is {value!r}; allowed: a number up to {MAX_TIMEOUT_S:g}")
    return DEFAULT_TIMEOUT_S
