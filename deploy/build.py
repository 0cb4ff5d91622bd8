"""Installs the libraries and the workspace's packages into `target/deps`.

The libraries are installed once for each constraints file; our own packages every time.
"""

import hashlib
import subprocess
import sys
from pathlib import Path

LIBRARIES = ["anyio", "h11", "hypercorn", "httpx", "thrift", "loguru", "hdrhistogram"]
PACKAGES = ["core", "wire", "storage", "entry", "control"]
BUILD_TOOLS = ["setuptools", "wheel"]


def install(*arguments: str) -> None:
    """Run pip for the target folder."""
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", "target/deps", "-U"]
    subprocess.run([*command, *arguments], check=True)


def main() -> None:
    """Build everything that the roles need."""
    constraints = Path("constraints.txt")
    stamp = Path("target/libraries")
    digest = hashlib.sha256(constraints.read_bytes() + repr(LIBRARIES).encode()).hexdigest()
    if not stamp.exists() or stamp.read_text() != digest:
        install("-c", str(constraints), *LIBRARIES)
        stamp.parent.mkdir(exist_ok=True)
        stamp.write_text(digest)
    own = [f"./packages/{name}" for name in PACKAGES] + ["./platform"]
    install("--no-deps", *own)


if __name__ == "__main__":
    main()
