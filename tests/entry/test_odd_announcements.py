"""Guards against an announcement of another writer that ends the entry process that reads it."""

import json

import testtools
from marigolddoor_core.targets import TargetState
from marigolddoor_entry.json_forms import JsonFormError, announcement_from_json
from marigolddoor_wire.codec import decode, encode
from marigolddoor_wire.messages import TargetReport
from marigolddoor_wire.peers import Address, parse_address

from tests.platform.odd_documents import ODD_ADDRESSES, mutated_documents, odd_documents

ANNOUNCEMENT = {
    "vm": "vm-1",
    "data_centre": "east",
    "rack": "r-1",
    "address": "10.0.0.9:80",
    "slots": 4,
    "busy_slots": 1,
    "capacity": {"cores": 4.0, "memory_mb": 1024, "accelerators": 0},
    "epoch": 3,
    "incarnation": "a",
    "tasks": [
        {
            "task": "t-1",
            "token": 5,
            "phase": "running",
            "usage": {"cores": 1.5, "memory_mb": 100},
            "run_s": 2.5,
            "reason": "",
        }
    ],
}


def forward(document: bytes) -> None:
    """Read an announcement as a holder does: it is probed, and reported to other processes."""
    announcement = announcement_from_json(document)
    parse_address(Address(announcement.address))
    report = TargetReport(announcement, TargetState.READY, 0.5)
    assert decode(encode(report)) == report


class OddAnnouncementTest(testtools.TestCase):
    """An odd announcement is refused, or what is accepted of it can be reported."""

    scenarios = [
        ("odd values", {"documents": lambda: [text for _, text in odd_documents(ANNOUNCEMENT)]}),
        ("mutations", {"documents": lambda: mutated_documents(ANNOUNCEMENT, seed=18, count=400)}),
        (
            "addresses",
            {
                "documents": lambda: [
                    json.dumps({**ANNOUNCEMENT, "address": address}).encode()
                    for address in ODD_ADDRESSES
                ]
            },
        ),
    ]

    def test_refused_or_reported(self) -> None:
        failures = []
        for document in self.documents():
            try:
                forward(document)
            except JsonFormError as error:
                if len(str(error)) > 400:
                    failures.append(f"{document[:300]!r}: message of {len(str(error))} characters")
            except Exception as error:
                failures.append(f"{document[:300]!r}: {type(error).__name__}")
        self.assertEqual([], failures)

    def test_sound_one_is_read(self) -> None:
        forward(json.dumps(ANNOUNCEMENT).encode())
