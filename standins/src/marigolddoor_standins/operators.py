"""A minimal client of the operators' HTTP, for tests and the bench."""

import tomllib
import uuid
from pathlib import Path
from typing import Any

import anyio
import httpx

from marigolddoor_standins.folders import TOKEN

__all__ = ["Operators"]

RETRY_S = 0.1


class Operators:
    """Calls the operators' HTTP of whichever control process answers."""

    def __init__(self, endpoints: list[str]) -> None:
        self.endpoints = endpoints
        self.client = httpx.AsyncClient(headers={"Authorization": f"Bearer {TOKEN}"}, timeout=10.0)

    async def get(self, path: str, **query: str) -> Any:
        """Return the JSON of the first endpoint that answers 200, tried until one does."""
        while True:
            for endpoint in self.endpoints:
                try:
                    answer = await self.client.get(f"{endpoint}{path}", params=query)
                except httpx.HTTPError:
                    continue
                if answer.status_code == 200:
                    return answer.json()
            await anyio.sleep(RETRY_S)

    async def leader_status(self) -> Any:
        """Return the status as the leader reports it."""
        while True:
            for endpoint in self.endpoints:
                try:
                    answer = await self.client.get(f"{endpoint}/v1/status")
                except httpx.HTTPError:
                    continue
                if answer.status_code == 200:
                    status = answer.json()
                    if status["leader"] and status["leader"] == status["replica"]:
                        return status
            await anyio.sleep(RETRY_S)

    async def post(
        self, path: str, body: dict[str, Any], endpoint: str | None = None
    ) -> httpx.Response:
        """Return the answer of one endpoint, or of the first one that can be reached."""
        for candidate in [endpoint] if endpoint else self.endpoints:
            try:
                return await self.client.post(f"{candidate}{path}", json=body)
            except httpx.ConnectError:
                continue
        raise httpx.ConnectError("no endpoint can be reached")

    async def apply(
        self,
        organisation: Path,
        base: int,
        request: str = "",
        parameters: dict[str, Any] | None = None,
        endpoint: str | None = None,
    ) -> httpx.Response:
        """Apply a declaration, with other values of some template parameters."""
        values = tomllib.loads(organisation.read_text())
        values.setdefault("parameters", {}).update(parameters or {})
        template = organisation.parent / values["template"]
        body = {
            "declaration": {
                "organisation": values,
                "template": tomllib.loads(template.read_text()),
            },
            "base_revision": base,
            "request": request or uuid.uuid4().hex,
        }
        return await self.post("/v1/apply", body, endpoint)
