"""Measures the processor time of the leader's calls and of the requests that it answers.

Client and server run in this process on one loop. Both measurements of a row differ only in the
part that the row names, so the time of the other part is in both.
"""

import time
from collections.abc import Awaitable, Callable

import anyio
import httpx
from marigolddoor_wire.http_client import HttpPool
from marigolddoor_wire.http_listener import bound_address, http_config, listen, serve_http
from marigolddoor_wire.http_server import HttpRequest, HttpResponse, HttpServer
from marigolddoor_wire.peers import Address

from bench.asgi_application import HttpApplication
from bench.rows import Goal, GoalKind, Row

CALLS = 1500
WARM_UP_CALLS = 100
BODY = b'{"task":"5c0e7a21d94b36f8.0.1.17","run":2,"deadline-ms":486000,"fencing-token":7}'
# Calls and heartbeats took most of a leader's time on the large deployments. Half of the usual
# libraries' cost is the least that pays for code of our own.
GOAL = Goal(GoalKind.AT_MOST_TIMES_BASELINE, 0.5)

Call = Callable[[], Awaitable[object]]


async def respond(request: HttpRequest) -> HttpResponse:
    """Answer as an executor does."""
    return HttpResponse(200, b'{"clock-ms":482113}')


async def _time_call_us(call: Call) -> float:
    for _ in range(WARM_UP_CALLS):
        await call()
    started_s = time.process_time()
    for _ in range(CALLS):
        await call()
    return (time.process_time() - started_s) / CALLS * 1e6


async def measure_client_us(with_httpx: bool) -> float:
    """Return the processor time of a call and its answer, by `HttpPool` or by httpx."""
    listener = listen(Address("127.0.0.1:0"))
    address = bound_address(listener)
    pool = HttpPool(4)
    async with anyio.create_task_group() as group, httpx.AsyncClient() as client:
        group.start_soon(HttpServer(respond).run, listener)
        if with_httpx:
            taken = await _time_call_us(
                lambda: client.post(f"http://{address}/run-start", content=BODY)
            )
        else:
            taken = await _time_call_us(lambda: pool.call(address, "/run-start", BODY, 2.0))
        group.cancel_scope.cancel()
    return taken


async def measure_server_us(with_hypercorn: bool) -> float:
    """Return the processor time of a request, served by `HttpServer` or by hypercorn."""
    listener = listen(Address("127.0.0.1:0"))
    address = bound_address(listener)
    pool = HttpPool(4)
    async with anyio.create_task_group() as group:
        if with_hypercorn:
            config = http_config(2.0, 75.0)
            stop = anyio.Event()
            group.start_soon(serve_http, HttpApplication(respond), listener, config, stop.wait)
        else:
            group.start_soon(HttpServer(respond).run, listener)
        path = "/instances/i-7f3a91c2/heartbeat"
        taken = await _time_call_us(lambda: pool.call(address, path, BODY, 2.0))
        group.cancel_scope.cancel()
    return taken


def rows() -> list[Row]:
    """Return the processor time of an order, and of a heartbeat."""

    def run(measure: Callable[[bool], Awaitable[float]], is_baseline: bool) -> float:
        return anyio.run(measure, is_baseline, backend_options={"use_uvloop": True})

    return [
        Row(name, run(measure, False), "us", run(measure, True), GOAL)
        for name, measure in (
            ("order_call_cpu_us", measure_client_us),
            ("heartbeat_cpu_us", measure_server_us),
        )
    ]
