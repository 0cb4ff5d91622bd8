"""Guards against misread settings files and against errors that don't name the invalid field."""

import testtools
from marigolddoor_platform.errors import InvalidSettingsError
from marigolddoor_platform.settings import parse_settings

LINES = {
    "node-name": "core-a-1",
    "ip": "10.1.0.12",
    "zone": "a",
    "listen.control": "10.1.0.12:8623",
    "internal-port-range": "7060,7075",
    "seeds": "10.1.0.12:8623,10.2.0.26:8623",
    "bootstrap": "true",
    "data-dir": "/data/x",
    "bounds.hold-max-ms": "6000",
    "bounds.lease-ms": "3000",
    "bounds.grace-s": "6",
    "fault-tolerance.machines": "2",
    "some.new.field": "1=2",
}


def settings_text(**changes: str | None) -> str:
    lines = {
        **LINES,
        **{name.replace("__", ".").replace("_", "-"): value for name, value in changes.items()},
    }
    return "\n".join(f"{name}={value}" for name, value in lines.items() if value is not None)


class InvalidTest(testtools.TestCase):
    """The error names the field that is missing or invalid."""

    scenarios = [
        ("no address", {"field": "ip", "value": None}),
        ("no seeds", {"field": "seeds", "value": None}),
        ("a seed without a port", {"field": "seeds", "value": "10.1.0.12"}),
        ("a lease that is not a number", {"field": "bounds.hold-max-ms", "value": "long"}),
        ("a metrics port that is not a number", {"field": "metrics-port", "value": "web"}),
        ("no fault tolerance", {"field": "fault-tolerance.machines", "value": None}),
        ("descriptors that are not a number", {"field": "limits.max-fds", "value": "many"}),
        ("memory that is not a number", {"field": "limits.memory-mb", "value": "2e2"}),
        ("a limit of clients that is not a number", {"field": "clients.head-ms", "value": "-1"}),
        ("a negative fault tolerance", {"field": "fault-tolerance.machines", "value": "-1"}),
        ("a listener without a port", {"field": "listen.control", "value": "10.1.0.12"}),
    ]

    def test_error(self) -> None:
        invalid_text = settings_text(**{self.field: self.value})
        error = self.assertRaises(InvalidSettingsError, parse_settings, invalid_text)
        self.assertIn(self.field, str(error))


class ReadTest(testtools.TestCase):
    """The fields that a process uses are parsed; unknown fields are ignored."""

    def test_control(self) -> None:
        settings = parse_settings(settings_text())
        self.assertEqual("10.1.0.12:7060", settings.peer)
        self.assertEqual(("10.1.0.12:7060", "10.2.0.26:7060"), settings.seeds)
        self.assertEqual((6.0, 8623), (settings.longest_lease_s, settings.control_port))
        self.assertEqual("10.1.0.12:9464", settings.metrics)
        self.assertEqual(1024, settings.max_descriptors)
        self.assertEqual(
            4096, parse_settings(settings_text(limits__max_fds="4096")).max_descriptors
        )
        self.assertEqual(
            "10.1.0.12:9999", parse_settings(settings_text(metrics_port="9999")).metrics
        )
        self.assertTrue(settings.is_first_start)
        self.assertEqual(2, settings.tolerated_losses)
        self.assertIsNone(settings.callers)


class ContractsTest(testtools.TestCase):
    """A space in the list of contracts opened the queues of a configuration without teams."""

    scenarios = [
        (f"{text!r}", {"text": text, "expected": expected})
        for text, expected in (
            (None, False),
            ("base", False),
            ("base,tenants", True),
            ("base, tenants", True),
            ("tenants ,base", True),
            ("base,subtenants", False),
        )
    ]

    def test_keys(self) -> None:
        settings = parse_settings(settings_text(contracts=self.text))
        self.assertEqual(self.expected, settings.requires_keys)


class RemoteFactorTest(testtools.TestCase):
    """A factor of 0 divided the duration of a run by 0, which ended the leadership."""

    scenarios = [
        (f"{text!r}", {"text": text, "expected": expected})
        for text, expected in ((None, 1.0), ("3", 3.0), ("1.5", 1.5), ("0.5", 1.0), ("0", 1.0))
    ]

    def test_factor(self) -> None:
        settings = parse_settings(settings_text(bounds__remote_factor=self.text))
        self.assertEqual(self.expected, settings.remote_factor)
