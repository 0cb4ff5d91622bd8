"""Guards against JSON of targets that is taken with a missing or wrong field."""

import json

import testtools
from marigolddoor_core.targets import Announcement, AnnouncementReply, TaskOrder, TaskOrderKind
from marigolddoor_wire.json_forms import JsonFormError, from_json, to_json

from tests.wire.test_codec import ANNOUNCEMENT

REPLY = AnnouncementReply(1.0, orders=(TaskOrder(TaskOrderKind.START, "t", "j", 3, 45.0),))


class JsonRoundTripTest(testtools.TestCase):
    """A message comes back equal from its JSON text."""

    scenarios = [
        ("announcement", {"message": ANNOUNCEMENT}),
        ("reply", {"message": REPLY}),
    ]

    def test_round_trip(self) -> None:
        text = json.dumps(to_json(self.message))
        self.assertEqual(self.message, from_json(type(self.message), json.loads(text)))


class BadJsonTest(testtools.TestCase):
    """A wrong form names its field."""

    scenarios = [
        ("not an object", {"change": None, "named": "the body"}),
        ("missing", {"change": {"vm": ...}, "named": "vm"}),
        ("wrong type", {"change": {"slots": "8"}, "named": "slots"}),
        ("boolean as number", {"change": {"slots": True}, "named": "slots"}),
        ("nested", {"change": {"capacity": {"cores": 1}}, "named": "capacity.memory_mb"}),
        ("not a list", {"change": {"tasks": {}}, "named": "tasks"}),
        ("unknown phase", {"change": {"tasks": [{"phase": "flying"}]}, "named": "tasks[0]"}),
    ]

    def test_refused(self) -> None:
        form = to_json(ANNOUNCEMENT)
        if self.change is None:
            form = []
        else:
            for name, value in self.change.items():
                if value is ...:
                    del form[name]
                else:
                    form[name] = value
        error = self.assertRaises(JsonFormError, from_json, Announcement, form)
        self.assertIn(self.named, str(error))
