"""Settings folders of a local system: key, tokens and one TOML file per process."""

import hashlib
import secrets
from dataclasses import dataclass
from pathlib import Path

from marigolddoor_standins.loopback import free_host, free_port

__all__ = ["ProcessFiles", "SystemFolder", "example_organisation"]

TOKEN = "operator-token-of-a-local-system"
OPERATOR = "ann"


def example_organisation(root: Path) -> Path:
    """Return the organisation file of the last example below the project folder `root`."""
    return sorted((root / "examples").glob("*/organisation.toml"))[-1]


@dataclass(frozen=True, slots=True)
class ProcessFiles:
    """A process of a local system: its settings file and addresses (empty for unused roles)."""

    name: str
    data_centre: str
    settings: Path
    callers: str = ""
    targets: str = ""
    peer: str = ""
    operators: str = ""


class SystemFolder:
    """Settings of a system with one control and `entries` entry processes per data centre.

    With `embedded`, there is one data centre, whose process has both roles.
    """

    def __init__(
        self,
        folder: Path,
        data_centres: int = 3,
        entries: int = 2,
        platform: str = "",
        embedded: bool = False,
        log_level: str = "warning",
    ) -> None:
        self.folder = folder
        self.platform = platform
        self.log_level = log_level
        self.embedded = embedded
        self.token_file = folder / "operator.token"
        self._write_private("peers.key", secrets.token_hex(32))
        self._write_private("operator.token", TOKEN)
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        self._write_private("tokens", f"{OPERATOR} {digest}\n")
        names = [f"dc{number}" for number in range(data_centres)]
        self.host = host = free_host()
        self.control_addresses = {
            name: (f"{host}:{free_port()}", f"{host}:{free_port()}") for name in names
        }
        addresses = {
            name: [
                (f"{host}:{free_port()}", f"{host}:{free_port()}", f"{host}:{free_port()}")
                for _ in range(entries)
            ]
            for name in names
        }
        self.controls: list[ProcessFiles] = []
        self.entries: list[ProcessFiles] = []
        for name in names:
            if not embedded:
                self.controls.append(self._write_control(name))
            for number in range(entries):
                self.entries.append(self._write_entry(name, number, addresses[name]))

    @property
    def operators(self) -> list[str]:
        """Return the base URLs of the operators' HTTP."""
        return [f"http://{operators}" for _, operators in self.control_addresses.values()]

    def targets_urls(self, data_centre: str) -> tuple[str, ...]:
        """Return the base URLs to which the targets of a data centre announce themselves."""
        return tuple(
            f"http://{entry.targets}" for entry in self.entries if entry.data_centre == data_centre
        )

    def _write_private(self, name: str, text: str) -> None:
        path = self.folder / name
        path.touch(mode=0o600)
        path.write_text(text)

    def _common_settings(self, name: str, data_centre: str, roles: str) -> str:
        return (
            f'name = "{name}"\ndata_centre = "{data_centre}"\nroles = [{roles}]\n'
            f'[peers]\nkey_file = "peers.key"\n[log]\nlevel = "{self.log_level}"\n'
        )

    def _control_table(self, name: str, data_centre: str) -> str:
        peer, operators = self.control_addresses[data_centre]
        (self.folder / f"data-{name}").mkdir()
        members = "".join(
            f'[[control.members]]\nreplica = "control-{other}"\naddress = "{address}"\n'
            f'data_centre = "{other}"\n'
            for other, (address, _) in self.control_addresses.items()
        )
        platform = f'platform = "{self.platform}"\n' if self.platform else ""
        return (
            f'[control]\nreplica = "control-{data_centre}"\npeer = "{peer}"\n'
            f'data_folder = "data-{name}"\noperators = "{operators}"\ntokens_file = "tokens"\n'
            f"{platform}{members}"
        )

    def _write_control(self, data_centre: str) -> ProcessFiles:
        name = f"control-{data_centre}"
        peer, operators = self.control_addresses[data_centre]
        path = self.folder / f"{name}.toml"
        path.write_text(
            self._common_settings(name, data_centre, '"control"')
            + self._control_table(name, data_centre)
        )
        return ProcessFiles(name, data_centre, path, peer=peer, operators=operators)

    def _write_entry(
        self, data_centre: str, number: int, addresses: list[tuple[str, str, str]]
    ) -> ProcessFiles:
        name = f"entry-{data_centre}-{number}"
        callers, targets, peer = addresses[number]
        peers = ", ".join(f'"{other[2]}"' for other in addresses if other[2] != peer)
        local = self.control_addresses[data_centre][0]
        others = [address for address, _ in self.control_addresses.values() if address != local]
        control = ", ".join(f'"{address}"' for address in [local, *others])
        roles = '"entry", "control"' if self.embedded else '"entry"'
        text = self._common_settings(name, data_centre, roles) + (
            f'[entry]\ncallers = "{callers}"\ntargets = "{targets}"\npeer = "{peer}"\n'
            f"peers = [{peers}]\ncontrol = [{control}]\n"
        )
        operators = ""
        if self.embedded:
            text += self._control_table(name, data_centre)
            operators = self.control_addresses[data_centre][1]
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return ProcessFiles(name, data_centre, path, callers, targets, peer, operators)
