"""Guards against misread documents and against invalid documents that are accepted."""

import json
import traceback

import testtools
from marigolddoor_core.dispatch import ExecutorState
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.jobs import InvalidConfigurationError, TaskSize, digest_key
from marigolddoor_platform.documents import JsonDocuments
from marigolddoor_platform.executor_documents import read_heartbeat, read_hold_report
from marigolddoor_platform.machine_documents import read_advice, read_wave

STEP = {"count": 4, "cpu": 500, "mem-mb": 256, "estimated-ms": 900, "affinity": "r1-3"}
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path-prefix": "/x/",
    "kind": "unsafe",
    "timeout-ms": 3000,
    "target-latency-ms": 600,
    "priority": 1,
    "service": "s-1",
    "max-attempts": 3,
    "slack-factor": 1.6,
}
SERVICE = {"name": "s-1", "enforces-capacity": True, "standby": False}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [SERVICE]}
HEARTBEAT = {
    "service": "s-1",
    "address": "10.0.0.9:80",
    "zone": "east",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "sequence": 4,
    "born": 1773008765578,
    "machine": "m-1",
}
WAVE = {"wave": 1, "machines": ["m-1"], "duration-s": 20, "max-count": 1}
READERS = {
    "job": JsonDocuments().read_job,
    "configuration": JsonDocuments().read_configuration,
    "heartbeat": lambda document: read_heartbeat("i-1", document),
    "wave": read_wave,
    "hold": read_hold_report,
    "advice": read_advice,
}


TEAM = {"name": "red", "api-keys": ["r1"], "weight": 3, "max-count": {"cpu": 8000, "mem-mb": 0}}


class InvalidTest(testtools.TestCase):
    """A document that can't be parsed in full is rejected with an error, not partially applied."""

    scenarios = [
        (f"{reader}: {name}", {"read": READERS[reader], "document": document})
        for reader, name, document in [
            ("job", "truncated", '{"steps":[{"count":1}'),
            ("job", "not an object", "[]"),
            ("job", "no steps", "{}"),
            ("job", "empty steps", {"steps": []}),
            ("job", "no tasks", {"steps": [{"count": 0}]}),
            ("job", "negative size", {"steps": [{"count": 1, "cpu": -1}]}),
            ("job", "string instead of a number", {"steps": [{"count": "1"}]}),
            ("job", "depends on itself", {"steps": [{"count": 1, "depends-on": [0]}]}),
            ("job", "depends on a later step", {"steps": [{"count": 1, "depends-on": [1]}, STEP]}),
            ("job", "payload too large", {"spec": "x" * 4001, "steps": [STEP]}),
            ("job", "too many tasks", {"steps": [{"count": 100_001}]}),
            ("job", "deep nesting", "[" * 100_000),
            ("configuration", "truncated", json.dumps(CONFIGURATION)[:-1]),
            ("configuration", "no version", {**CONFIGURATION, "version": None}),
            ("configuration", "version of the wrong type", {**CONFIGURATION, "version": "7"}),
            ("configuration", "no routes", {"version": 7, "services": [SERVICE]}),
            ("configuration", "unknown service", {**CONFIGURATION, "services": []}),
            (
                "configuration",
                "two queues with the same host and path",
                {**CONFIGURATION, "routes": [ROUTE, {**ROUTE, "name": "r-2"}]},
            ),
            (
                "configuration",
                "timeout of 0",
                {**CONFIGURATION, "routes": [{**ROUTE, "timeout-ms": 0}]},
            ),
            (
                "configuration",
                "no timeout",
                {
                    **CONFIGURATION,
                    "routes": [{key: ROUTE[key] for key in ROUTE if key != "timeout-ms"}],
                },
            ),
            *(
                ("configuration", name, {**CONFIGURATION, "tenants": teams})
                for name, teams in (
                    ("teams of the wrong type", {"name": "red"}),
                    ("a team without keys", [{"name": "red"}]),
                    ("a team without a name", [{"api-keys": ["r1"]}]),
                    ("a quota of the wrong type", [{**TEAM, "max-count": 3}]),
                    ("a negative quota", [{**TEAM, "max-count": {"cpu": -1}}]),
                    ("two teams share a name", [TEAM, {**TEAM, "api-keys": ["b1"]}]),
                    ("two teams share a key", [TEAM, {**TEAM, "name": "blue"}]),
                )
            ),
            ("heartbeat", "not UTF-8", b"\xff\xfe\x00"),
            ("heartbeat", "no service", {**HEARTBEAT, "service": None}),
            ("heartbeat", "unknown state", {**HEARTBEAT, "state": "asleep"}),
            ("heartbeat", "sequence of the wrong type", {**HEARTBEAT, "sequence": "4"}),
            ("heartbeat", "labels of the wrong type", {**HEARTBEAT, "labels": "a"}),
            ("heartbeat", "capacity of the wrong type", {**HEARTBEAT, "capacity": 3}),
            ("heartbeat", "slots of the wrong type", {**HEARTBEAT, "slots": "8"}),
            *(
                (
                    "heartbeat",
                    f"no {name}",
                    {key: HEARTBEAT[key] for key in HEARTBEAT if key != name},
                )
                for name in (
                    "address",
                    "zone",
                    "version",
                    "slots",
                    "state",
                    "cold-remaining-ms",
                    "sequence",
                )
            ),
            ("heartbeat", "start after the year 2100", {**HEARTBEAT, "born": 2**52}),
            ("hold", "start after the year 2100", {"clock-ms": 1, "born": 2**52}),
            ("wave", "no machines", {**WAVE, "machines": None}),
            ("wave", "max-count of 0", {**WAVE, "max-count": 0}),
            ("advice", "no validity", {"approved": []}),
            ("advice", "no list", {"approved": {"i-1": "c81e"}, "validity-ms": 3}),
            ("hold", "runs are not a list", {"clock-ms": 1, "running": "t", "finished": []}),
            ("hold", "no clock", {"running": [], "finished": []}),
        ]
    ]

    def test_refused(self) -> None:
        document = self.document
        if not isinstance(document, bytes):
            text = document if isinstance(document, str) else json.dumps(document)
            document = text.encode()
        self.assertRaises(InvalidInputError, self.read, document)


class ReadTest(testtools.TestCase):
    """Each field is parsed into the attribute with its meaning."""

    def test_job(self) -> None:
        steps = [
            STEP,
            {
                "count": 2,
                "depends-on": [0],
                "checkpointing": True,
                "long-running": True,
                "anti-affinity": 1,
                "allowed-misses": 1,
                "target-ms": 250,
                "utilization": True,
                "gang": True,
                "tightly-coupled": True,
                "required-label": "b",
            },
        ]
        job = JsonDocuments().read_job(json.dumps({"spec": "text", "steps": steps}).encode())
        first, second = job.steps
        self.assertEqual((4, TaskSize(500, 256)), (first.count, first.size))
        self.assertEqual((0.9, "r1-3"), (first.estimated_s, first.preferred_rack))
        self.assertEqual(((0,), 1, 1), (second.depends_on, second.spread_limit, 1))
        self.assertEqual((250.0, 1), (second.latency_target_ms, second.allowed_misses))
        self.assertTrue(
            second.is_checkpointing and second.is_long_running and second.is_best_effort
        )
        self.assertTrue(second.is_gang and second.is_tightly_coupled)
        self.assertEqual(("b", False), (second.required_label, job.is_timed))

    def test_timed_job(self) -> None:
        fields = {
            "steps": [STEP],
            "repeat-count": 3,
            "first-run-ms": 1_000_500,
            "interval-ms": 2000,
        }
        job = JsonDocuments().read_job(json.dumps(fields).encode())
        self.assertEqual([1000.5, 1004.5], [job.due_s(0), job.due_s(2)])
        self.assertEqual(12, job.task_count)

    def test_configuration(self) -> None:
        parsed = JsonDocuments().read_configuration(json.dumps(CONFIGURATION).encode())
        queue = parsed.find("a.example", "/x/0123")
        assert queue is not None
        self.assertEqual((7, "r-1", 1, 3), (parsed.version, queue.name, queue.priority, 3))
        self.assertEqual((0.6, 3.0, 1.6), (queue.latency_target_s, queue.timeout_s, 1.6))
        self.assertIsNone(parsed.find("b.example", "/x/0123"))

    def test_heartbeat(self) -> None:
        parsed = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
        self.assertEqual(("i-1/1773008765578", "r1-3"), (parsed.incarnation, parsed.rack))
        self.assertEqual((TaskSize(16000, 32768, 1), "m-1"), (parsed.capacity, parsed.machine))
        self.assertIs(ExecutorState.READY, parsed.state)

    def test_advice(self) -> None:
        fields = {"approved": [["i-1", "c81e"]], "validity-ms": 3000}
        advice = read_advice(json.dumps(fields).encode())
        self.assertEqual(({"i-1": "c81e"}, 3.0), (advice.tickets, advice.validity_s))

    def test_hold_report(self) -> None:
        fields = {
            "clock-ms": 9,
            "running": [["j.0.1.17", 2, "c", 41, 130]],
            "finished": [[58, "j.0.1.9", 1, "done", ""]],
        }
        report = read_hold_report(json.dumps(fields).encode())
        running, finished = report.running[0], report.finished[0]
        self.assertEqual((2, "c", 41, 130.0), (running.run, running.checkpoint, 41, running.load))
        self.assertEqual((58, "done"), (finished.number, finished.outcome))


class TeamsTest(testtools.TestCase):
    """A document without teams must not open queues that need a key, nor close the others."""

    scenarios = [
        ("teams", {"teams": [TEAM], "requires_keys": True, "expected": "red"}),
        ("teams, not required", {"teams": [TEAM], "requires_keys": False, "expected": "red"}),
        ("missing", {"teams": None, "requires_keys": True, "expected": None}),
        ("missing, not required", {"teams": None, "requires_keys": False, "expected": "open"}),
        ("no team", {"teams": [], "requires_keys": False, "expected": None}),
    ]

    def test_key(self) -> None:
        fields = {**CONFIGURATION, **({} if self.teams is None else {"tenants": self.teams})}
        documents = JsonDocuments(requires_keys=self.requires_keys)
        parsed = documents.read_configuration(json.dumps(fields).encode())
        found = "open" if parsed.teams is None else parsed.team_of_key(digest_key("r1"))
        self.assertEqual(self.expected, found)
        if self.expected == "red":
            (team,) = parsed.teams
            self.assertEqual((3.0, TaskSize(8000)), (team.weight, team.quota))


class LongestPrefixTest(testtools.TestCase):
    """A path belongs to the queue with the longest prefix, on its own host only."""

    scenarios = [
        ("short prefix", {"path": "/x/1", "queue": "short"}),
        ("long prefix", {"path": "/x/y/1", "queue": "long"}),
        ("no matching prefix", {"path": "/z/1", "queue": None}),
    ]

    def test_find(self) -> None:
        routes = [
            {**ROUTE, "name": "short"},
            {**ROUTE, "name": "long", "path-prefix": "/x/y/"},
        ]
        document = json.dumps({**CONFIGURATION, "routes": routes}).encode()
        found = JsonDocuments().read_configuration(document).find("a.example", self.path)
        self.assertEqual(self.queue, None if found is None else found.name)


class MisplacedKeyTest(testtools.TestCase):
    """The error of an invalid configuration, which is logged and returned, contained a key."""

    scenarios = [
        (name, {"field": name, "value": value})
        for name, value in (
            ("name", ["k3y"]),
            ("name", {"k3y": "k3y"}),
            ("name", "k3y" * 2000),
            ("api-keys", "k3y"),
            ("api-keys", ["k3y", 3]),
            ("api-keys", ["k3y", "\ud800"]),
            ("weight", "k3y"),
            ("max-count", "k3y"),
            ("max-count", {"cpu": "k3y"}),
            ("max-count", {"mem-mb": ["k3y"]}),
        )
    ]

    def test_error(self) -> None:
        teams = [TEAM, {**TEAM, "name": "blue", "api-keys": ["b1"], self.field: self.value}]
        document = json.dumps({**CONFIGURATION, "tenants": teams}).encode()
        error = self.assertRaises(
            InvalidConfigurationError, JsonDocuments().read_configuration, document
        )
        self.assertIn("tenants", str(error))
        self.assertIn("2", str(error))
        self.assertNotIn("k3y", "".join(traceback.format_exception(error)))
