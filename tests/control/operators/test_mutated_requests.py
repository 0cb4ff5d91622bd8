"""Guards against requests that fail inside, or change something although they are refused."""

import copy
import dataclasses
import json
import random
import tomllib
from collections.abc import Iterator
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.results import Result
from marigolddoor_core.state.snapshots import StateSnapshot
from marigolddoor_wire.codec import decode, encode

from tests.operator_fakes import ANN_TOKEN, ORGANISATION, TEMPLATE, FakeSystem, fake_application

ROUNDS = 250
SOURCE = {"organisation": tomllib.loads(ORGANISATION), "template": tomllib.loads(TEMPLATE)}
REQUESTS: tuple[tuple[str, Any], ...] = (
    ("/v1/apply", {"declaration": SOURCE, "base_revision": 1, "request": "a"}),
    ("/v1/plan", {"declaration": SOURCE}),
    ("/v1/drain", {"request": "d", "vm": "vm-1"}),
    ("/v1/answer", {"question": "q22", "choice": "wait", "request": "x"}),
)
VALUES: tuple[Any, ...] = (
    None, True, 0, -1, 2**63, 10**30, 1.5, float("nan"), float("inf"), "", "a", "\ud800", "\0",
    "a" * 5000, "${order_workers}", "${unknown}", "${", [], {}, [[]], {"a": {}}, "\u202e",
)  # fmt: skip


class EncodingSystem(FakeSystem):
    """Encodes every command, as a leader does for the other replicas."""

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Commit a command that is the same on every replica."""
        assert decode(encode(command)) == command
        return await super().propose(command, timeout_s)


def places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Return the path of every part of a JSON value."""
    parts = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in parts:
        yield (*path, key)
        if isinstance(part, dict | list):
            yield from places(part, (*path, key))


def mutate(chance: random.Random, request: Any) -> Any:
    """Return the request with one part replaced, removed or renamed."""
    mutated = copy.deepcopy(request)
    *path, last = chance.choice(list(places(mutated)))
    owner = mutated
    for key in path:
        owner = owner[key]
    kind = chance.random()
    if kind < 0.8:
        owner[last] = chance.choice(VALUES)
    elif kind < 0.9 or isinstance(owner, list):
        del owner[last]
    else:
        owner[chance.choice(["new", "\ud800", ""])] = owner.pop(last)
    return mutated


def contents(system: FakeSystem) -> StateSnapshot:
    """Return the state without the log index and the memory of requests, which refusals change."""
    return dataclasses.replace(system.state.snapshot(), index=LogIndex(0), requests=())


class MutatedRequestTest(testtools.TestCase):
    """A mutated request is done or refused with a type; a refused one leaves the state as it is."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(4)]

    def test_requests(self) -> None:
        anyio.run(self.send)

    async def send(self) -> None:
        chance = random.Random(self.seed)
        for number in range(ROUNDS):
            system = EncodingSystem()
            before = contents(system)
            transport = httpx.ASGITransport(fake_application(system))
            path, request = chance.choice(REQUESTS)
            body = json.dumps(mutate(chance, request)).encode()
            headers = {"Authorization": f"Bearer {ANN_TOKEN}"}
            async with httpx.AsyncClient(transport=transport, base_url="http://system") as client:
                response = await client.post(path, content=body, headers=headers)
            case = f"round {number}: {path} {body[:300]!r}"
            self.assertIn(response.status_code, (200, 400, 404, 409, 422), case)
            if response.status_code != 200 or path == "/v1/plan":
                self.assertTrue(before == contents(system), case)
