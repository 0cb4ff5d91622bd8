"""Installs the libraries and copies the workspace's packages into `target/deps`.

Libraries are installed again only if the constraints change; packages are copied every time.
"""

import hashlib
import shutil
import subprocess
import sys
from pathlib import Path

LIBRARIES = ["anyio", "httptools", "hypercorn", "httpx", "thrift", "loguru", "hdrhistogram", "uvloop"]
SOURCES = [
    *(f"packages/{name}/src" for name in ("core", "wire", "storage", "entry", "control")),
    "platform/src",
]
TARGET = Path("target/deps")
STAMP = Path("target/libraries")


def install_libraries() -> None:
    """Install the libraries at the versions of the constraints file."""
    constraints = Path("constraints.txt")
    inputs = constraints.read_bytes() + repr(LIBRARIES).encode()
    digest = hashlib.sha256(inputs).hexdigest()
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
