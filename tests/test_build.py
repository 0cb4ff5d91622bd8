"""Guards against a build that keeps libraries which this machine can't load."""

import importlib.util
from pathlib import Path
from types import ModuleType

import testtools

BUILD = Path(__file__).resolve().parent.parent / "deploy" / "build.py"
INPUTS = {"constraints": b"uvloop==1", "platform": "linux-x86_64", "interpreter": "cpython-311"}


def load_build() -> ModuleType:
    spec = importlib.util.spec_from_file_location("deploy_build", BUILD)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class LibrariesDigestTest(testtools.TestCase):
    """A build folder from a machine of another kind counted as up to date.

    The compiled libraries in it can't be loaded, so no process of the deployment started.
    """

    scenarios = [
        ("nothing", {"changed": {}, "is_same": True}),
        ("constraints", {"changed": {"constraints": b"uvloop==2"}, "is_same": False}),
        ("kind of machine", {"changed": {"platform": "linux-aarch64"}, "is_same": False}),
        ("interpreter", {"changed": {"interpreter": "cpython-312"}, "is_same": False}),
    ]

    def test_digest(self) -> None:
        digest = load_build().libraries_digest
        self.assertEqual(self.is_same, digest(**INPUTS) == digest(**{**INPUTS, **self.changed}))
