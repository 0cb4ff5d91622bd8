"""Guards against requests that cause an internal error, or change the state although refused."""

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
    """Encodes every command, as a leader does for the followers."""

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Apply a command after checking that encoding preserves it."""
        assert decode(encode(command)) == command
        return await super().propose(command, timeout_s)


def value_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of every nested value of a JSON value."""
    parts = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in parts:
        yield (*path, key)
        if isinstance(part, dict | list):
            yield from value_paths(part, (*path, key))


def mutate(rng: random.Random, request: Any) -> Any:
    """Return the request with one value replaced, removed or renamed."""
    mutated = copy.deepcopy(request)
    *path, last = rng.choice(list(value_paths(mutated)))
    owner = mutated
    for key in path:
        owner = owner[key]
    kind = rng.random()
    if kind < 0.8:
        owner[last] = rng.choice(VALUES)
    elif kind < 0.9 or isinstance(owner, list):
        del owner[last]
    else:
        owner[rng.choice(["new", "\ud800", ""])] = owner.pop(last)
    return mutated


def comparable_state(system: FakeSystem) -> StateSnapshot:
    """Return the state without the log index and the request results, which refusals change."""
    return dataclasses.replace(system.state.snapshot(), index=LogIndex(0), requests=())


class MutatedRequestTest(testtools.TestCase):
    """A mutated request succeeds or gets a typed refusal that leaves the state unchanged."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(4)]

    def test_requests(self) -> None:
        anyio.run(self.send)

    async def send(self) -> None:
        rng = random.Random(self.seed)
        for number in range(ROUNDS):
            system = EncodingSystem()
            before = comparable_state(system)
            transport = httpx.ASGITransport(fake_application(system))
            path, request = rng.choice(REQUESTS)
            body = json.dumps(mutate(rng, request)).encode()
            headers = {"Authorization": f"Bearer {ANN_TOKEN}"}
            async with httpx.AsyncClient(transport=transport, base_url="http://system") as client:
                response = await client.post(path, content=body, headers=headers)
            case = f"round {number}: {path} {body[:300]!r}"
            self.assertIn(response.status_code, (200, 400, 404, 409, 422), case)
            if response.status_code != 200 or path == "/v1/plan":
                self.assertTrue(before == comparable_state(system), case)
