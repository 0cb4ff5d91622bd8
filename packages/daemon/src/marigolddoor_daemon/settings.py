"""The settings of `marigolddoord`: one TOML file, fully validated before anything starts.

Example:
  name = "entry-1"
  data_centre = "east"
  roles = ["entry"]

  [peers]
  key_file = "peers.key"

  [entry]
  callers = "10.0.0.5:8080"
  targets = "10.0.0.5:8081"
  peer = "10.0.0.5:7000"
  peers = ["10.0.0.6:7000"]
  control = ["10.0.0.5:7100", "10.1.0.5:7100", "10.2.0.5:7100"]
"""

import tomllib
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from marigolddoor_control.operators.tokens import TokenFileError, Tokens, parse_tokens
from marigolddoor_core.ids import DataCentreId, ProcessId, ReplicaId
from marigolddoor_entry.settings import EntryLimits
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import Address

from marigolddoor_daemon.errors import PrivateFileError, SettingsError, SettingsProblem
from marigolddoor_daemon.private_files import check_private_file, read_private_file
from marigolddoor_daemon.tables import Problems, Table

__all__ = [
    "ControlSettings",
    "EntryLimits",
    "EntrySettings",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "MemberSettings",
    "Role",
    "Settings",
    "TimelineSettings",
    "TlsSettings",
    "load_settings",
]

MIN_KEY_BYTES = 32
PRIVATE_RULE = "a file with mode 0600 of the user that runs the process"


class Role(Enum):
    """A role of a process."""

    ENTRY = "entry"
    CONTROL = "control"


class LogLevel(Enum):
    """The minimum level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(Enum):
    """The format of a log line."""

    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Addresses of the role `entry`.

    `peers` are the other entry processes of the data centre. `control` are control processes, with
    the one in the local data centre first.
    """

    callers: Address
    targets: Address
    peer: Address
    peers: tuple[Address, ...]
    control: tuple[Address, ...]
    limits: EntryLimits


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """An initial member of the consensus group."""

    replica: ReplicaId
    address: Address
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Addresses and files of the role `control`. `platform` is None without a platform."""

    replica: ReplicaId
    peer: Address
    members: tuple[MemberSettings, ...]
    data_folder: Path
    operators: Address
    tokens: Tokens
    platform: str | None


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files for TLS. With `authority`, peers must present a certificate signed by it."""

    certificate: Path
    key: Path
    authority: Path | None


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


@dataclass(frozen=True, slots=True)
class TimelineSettings:
    """The number of events kept in memory, and the file to which they are appended, if any."""

    capacity: int = 4096
    file: Path | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one process. `entry` and `control` are None without the role."""

    name: ProcessId
    data_centre: DataCentreId
    roles: tuple[Role, ...]
    key: SharedKey
    entry: EntrySettings | None
    control: ControlSettings | None
    tls: TlsSettings | None
    log: LogSettings
    timeline: TimelineSettings


def load_settings(file: Path) -> Settings:
    """Return the settings in `file`.

    Raises:
      SettingsError: lists all problems of the file and of the files that it names.
    """
    try:
        text = file.read_bytes().decode()
        values = tomllib.loads(text)
    except OSError as error:
        problem = SettingsProblem("the file", f"unreadable ({error.strerror})", "a TOML file")
        raise SettingsError(file, [problem]) from error
    except ValueError as error:
        problem = SettingsProblem("the file", f"damaged ({error})", "a TOML file in UTF-8")
        raise SettingsError(file, [problem]) from error
    return _read(file, values)


def _read(file: Path, values: dict[str, Any]) -> Settings:
    problems = Problems()
    folder = file.absolute().parent
    root = Table(problems, "", values)
    data_centre = DataCentreId(root.name("data_centre"))
    roles = root.choices("roles", Role)
    settings = Settings(
        name=ProcessId(root.name("name")),
        data_centre=data_centre,
        roles=roles,
        key=_read_key(root.table("peers", required=True), folder),
        entry=_read_entry(root, roles),
        control=_read_control(root, roles, folder, data_centre),
        tls=_read_tls(root, folder),
        log=_read_log(root.table("log")),
        timeline=_read_timeline(root.table("timeline"), folder),
    )
    root.report_unknown_keys()
    _check_listeners(settings, problems)
    if problems.collected:
        raise SettingsError(file, problems.collected)
    return settings


def _read_key(table: Table, folder: Path) -> SharedKey:
    path = table.path("key_file", folder)
    secret = b""
    if table.has("key_file"):
        try:
            secret = read_private_file(path).strip()
            if len(secret) < MIN_KEY_BYTES:
                table.report_invalid(
                    "key_file", f"a file with a key of at least {MIN_KEY_BYTES} bytes"
                )
        except PrivateFileError as error:
            table.report_invalid("key_file", f"{PRIVATE_RULE}; it {error}")
    table.report_unknown_keys()
    return SharedKey(secret)


def _read_entry(root: Table, roles: tuple[Role, ...]) -> EntrySettings | None:
    if Role.ENTRY not in roles:
        if root.has("entry") and roles:
            root.report_invalid("entry", "present only with the role 'entry'")
        return None
    table = root.table("entry", required=True)
    entry = EntrySettings(
        callers=table.listen_address("callers"),
        targets=table.listen_address("targets"),
        peer=table.listen_address("peer"),
        peers=table.addresses("peers", minimum=0),
        control=table.addresses("control", minimum=1),
        limits=_read_limits(table.table("limits")),
    )
    if entry.peer in entry.peers:
        table.report_invalid("peers", f"a list without the own address {entry.peer}")
    table.report_unknown_keys()
    return entry


def _read_limits(table: Table) -> EntryLimits:
    default = EntryLimits()
    limits = EntryLimits(
        body_bytes=table.number("body_bytes", default.body_bytes, 1024, 16 * 1024 * 1024),
        answer_bytes=table.number("answer_bytes", default.answer_bytes, 1024, 256 * 1024 * 1024),
    )
    table.report_unknown_keys()
    return limits


def _read_control(
    root: Table, roles: tuple[Role, ...], folder: Path, data_centre: DataCentreId
) -> ControlSettings | None:
    if Role.CONTROL not in roles:
        if root.has("control") and roles:
            root.report_invalid("control", "present only with the role 'control'")
        return None
    table = root.table("control", required=True)
    control = ControlSettings(
        replica=ReplicaId(table.name("replica")),
        peer=table.listen_address("peer"),
        members=tuple(_read_member(member) for member in table.tables("members")),
        data_folder=table.path("data_folder", folder),
        operators=table.listen_address("operators"),
        tokens=_read_tokens(table, folder),
        platform=table.url("platform") if table.has("platform") else None,
    )
    table.report_unknown_keys()
    if control.members:
        _check_members(table, control, data_centre)
    if control.data_folder.exists() and not control.data_folder.is_dir():
        table.report_invalid("data_folder", "a folder")
    return control


def _read_member(table: Table) -> MemberSettings:
    member = MemberSettings(
        ReplicaId(table.name("replica")),
        table.address("address"),
        DataCentreId(table.name("data_centre")),
    )
    table.report_unknown_keys()
    return member


def _check_members(table: Table, control: ControlSettings, data_centre: DataCentreId) -> None:
    members = {member.replica: member for member in control.members}
    if len(members) < len(control.members):
        table.report_invalid("members", "members with different values of replica")
    if len({member.address for member in control.members}) < len(control.members):
        table.report_invalid("members", "members with different addresses")
    # A replica that is not listed joins as a learner, so only a listed one has to match.
    own = members.get(control.replica)
    if own is not None and own.address != control.peer:
        table.report_invalid("peer", f"{own.address!r}, the address of {own.replica!r} in members")
    if own is not None and own.data_centre != data_centre:
        table.problems.add(
            "data_centre",
            data_centre,
            f"{own.data_centre!r}, the data centre of {own.replica!r} in control.members",
        )


def _read_tokens(table: Table, folder: Path) -> Tokens:
    path = table.path("tokens_file", folder)
    if table.has("tokens_file"):
        try:
            return parse_tokens(read_private_file(path).decode())
        except PrivateFileError as error:
            table.report_invalid("tokens_file", f"{PRIVATE_RULE}; it {error}")
        except TokenFileError as error:
            table.report_invalid("tokens_file", f"a file with lines NAME SHA256; {error}")
        except UnicodeDecodeError:
            table.report_invalid("tokens_file", "a file with lines NAME SHA256 in UTF-8")
    return Tokens(())


def _read_tls(root: Table, folder: Path) -> TlsSettings | None:
    if not root.has("tls"):
        return None
    table = root.table("tls")
    tls = TlsSettings(
        certificate=_readable_file(table, "certificate", folder),
        key=table.path("key", folder),
        authority=(_readable_file(table, "authority", folder) if table.has("authority") else None),
    )
    if table.has("key"):
        try:
            check_private_file(tls.key)
        except PrivateFileError as error:
            table.report_invalid("key", f"{PRIVATE_RULE}; it {error}")
    table.report_unknown_keys()
    return tls


def _readable_file(table: Table, name: str, folder: Path) -> Path:
    path = table.path(name, folder)
    if table.has(name) and not path.is_file():
        table.report_invalid(name, "a file in PEM format")
    return path


def _read_log(table: Table) -> LogSettings:
    log = LogSettings(
        table.choice("level", LogLevel, LogLevel.INFO),
        table.choice("format", LogFormat, LogFormat.TEXT),
    )
    table.report_unknown_keys()
    return log


def _read_timeline(table: Table, folder: Path) -> TimelineSettings:
    default = TimelineSettings()
    timeline = TimelineSettings(
        capacity=table.number("capacity", default.capacity, 16, 1_000_000),
        file=table.path("file", folder) if table.has("file") else None,
    )
    table.report_unknown_keys()
    return timeline


def _check_listeners(settings: Settings, problems: Problems) -> None:
    listeners: list[tuple[str, Address]] = []
    if settings.entry is not None:
        listeners += [
            ("entry.callers", settings.entry.callers),
            ("entry.targets", settings.entry.targets),
            ("entry.peer", settings.entry.peer),
        ]
    if settings.control is not None:
        listeners += [
            ("control.peer", settings.control.peer),
            ("control.operators", settings.control.operators),
        ]
    used: dict[Address, str] = {}
    for key, address in listeners:
        if address.endswith(":0"):
            continue
        if address in used:
            problems.add(key, address, f"an address that is not used; {used[address]} has it")
        used.setdefault(address, key)
