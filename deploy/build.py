"""Installs the libraries and copies the workspace's packages into `target/deps`.

Libraries are installed again only if the constraints, the interpreter or the kind of machine change;
packages are copied every time.
"""

import hashlib
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

LIBRARIES = [
    "anyio",
    "httptools",
    "hypercorn",
    "httpx",
    "thrift",
    "loguru",
    "hdrhistogram",
    "uvloop",
]
SOURCES = [
    *(f"packages/{name}/src" for name in ("core", "wire", "storage", "entry", "control")),
    "platform/src",
]
TARGET = Path("target/deps")
STAMP = Path("target/libraries")


def libraries_digest(constraints: bytes, platform: str, interpreter: str) -> str:
    """Return the digest of all that the installed libraries depend on.

    uvloop, httptools and thrift have compiled parts, which another kind of machine or another
    version of Python can't load.
    """
    inputs = (constraints, repr(LIBRARIES).encode(), platform.encode(), interpreter.encode())
    return hashlib.sha256(b"\0".join(inputs)).hexdigest()


def install_libraries() -> None:
    """Install the libraries at the versions of the constraints file."""
    constraints = Path("constraints.txt")
    interpreter = sys.implementation.cache_tag or sys.version
    digest = libraries_digest(constraints.read_bytes(), sysconfig.get_platform(), interpreter)
    if STAMP.exists() and STAMP.read_text() == digest:
        return
    shutil.rmtree(TARGET, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(TARGET)]
    subprocess.run([*command, "-c", str(constraints), *LIBRARIES], check=True)
    STAMP.write_text(digest)


def copy_packages() -> None:
    """Replace the workspace's packages, so that no file of an earlier build remains."""
    for source in SOURCES:
        for package in Path(source).iterdir():
            if (package / "__init__.py").exists():
                target = TARGET / package.name
                shutil.rmtree(target, ignore_errors=True)
                shutil.copytree(package, target, ignore=shutil.ignore_patterns("__pycache__"))


if __name__ == "__main__":
    install_libraries()
    copy_packages()
