"""A minimal client of the operators' HTTP interface, for tests and the bench."""

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
    """Calls the operators' HTTP of the first control process that answers."""

    def __init__(self, endpoints: list[str]) -> None:
        self.endpoints = endpoints
        self.client = httpx.AsyncClient(headers={"Authorization": f"Bearer {TOKEN}"}, timeout=10.0)

    async def get(self, path: str, **query: str) -> Any:
        """Return the JSON of the first endpoint that answers 200; retry until one does."""
        while True:
            for endpoint in self.endpoints:
                try:
                    response = await self.client.get(f"{endpoint}{path}", params=query)
                except httpx.HTTPError:
                    continue
                if response.status_code == 200:
                    return response.json()
            await anyio.sleep(RETRY_S)

    async def leader_status(self) -> Any:
        """Return the status that the leader reports; retry until it answers."""
        while True:
            for endpoint in self.endpoints:
                try:
                    response = await self.client.get(f"{endpoint}/v1/status")
                except httpx.HTTPError:
                    continue
                if response.status_code == 200:
                    status = response.json()
                    if status["leader"] and status["leader"] == status["replica"]:
                        return status
            await anyio.sleep(RETRY_S)

    async def post(
        self, path: str, body: dict[str, Any], endpoint: str | None = None
    ) -> httpx.Response:
        """Return the response of one endpoint, or of the first reachable one."""
        for candidate in [endpoint] if endpoint else self.endpoints:
            try:
                return await self.client.post(f"{candidate}{path}", json=body)
            except httpx.ConnectError:
                continue
        raise httpx.ConnectError("no endpoint is reachable")

    async def apply(
        self,
        organisation: Path,
        base: int,
        request: str = "",
        parameters: dict[str, Any] | None = None,
        endpoint: str | None = None,
    ) -> httpx.Response:
        """Apply a declaration; `parameters` overrides template parameters."""
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
