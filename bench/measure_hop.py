"""Measures the cost of the hop through an entry process, with processes over loopback.

A client sends requests to a target directly and then through an entry process. Both paths use
hypercorn and httpx: hypercorn serves the target, and the client sends with httpx. The processor
time of the entry process for a forwarded request is compared with that of client and target
together for a direct one, since the hop has a server side and a client side.
"""

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from bench.rows import Goal, GoalKind, Row

ROOT = Path(__file__).resolve().parent.parent
TARGETS = 2
CONNECTIONS = 16
SECONDS = 4.0
# Each figure is the median of this many rounds, direct and forwarded in turn.
ROUNDS = 3
MAX_RSS_MB = 64.0


class _ChildProcess:
    """A child process that answers each line with its processor time and memory."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.hop_parts", *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def read(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        line: dict[str, Any] = json.loads(self.process.stdout.readline())
        return line

    def request_usage(self) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(b"cpu\n")
        self.process.stdin.flush()
        return self.read()

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


@dataclass(frozen=True, slots=True)
class _Load:
    """The result of one load: processor time in ms per request, and latencies."""

    client_ms: float
    server_ms: float
    rate: float
    p50_ms: float
    p99_ms: float


def _load(address: str, servers: list[_ChildProcess], rate: float) -> _Load:
    before = sum(server.request_usage()["cpu_s"] for server in servers)
    client = _ChildProcess(
        "client",
        address,
        f"--rate={rate}",
        f"--seconds={SECONDS}",
        f"--connections={CONNECTIONS}",
    )
    result = client.read()
    client.close()
    after = sum(server.request_usage()["cpu_s"] for server in servers)
    sent = result["sent"]
    if result["failures"] or not sent:
        raise RuntimeError(f"{result['failures']} of {sent} requests failed")
    return _Load(
        client_ms=result["cpu_s"] / sent * 1000,
        server_ms=(after - before) / sent * 1000,
        rate=sent / result["seconds"],
        p50_ms=result["p50_ms"],
        p99_ms=result["p99_ms"],
    )


def rows() -> list[Row]:
    """Measure the hop, with the direct path as the baseline."""
    targets = [_ChildProcess("target") for _ in range(TARGETS)]
    addresses = [target.read()["address"] for target in targets]
    entry = _ChildProcess("entry", *addresses)
    try:
        address = entry.read()["address"]
        idle_rss_mb = [part.request_usage()["rss_kb"] / 1024 for part in (entry, targets[0])]
        # Processor time, like latency, is compared at half load: at full load, requests are read
        # and written in batches.
        full = _load(address, [entry], 0.0)
        rate = full.rate / 2
        direct = [_load(addresses[0], targets[:1], rate) for _ in range(ROUNDS)]
        forwarded = [_load(address, [entry], rate) for _ in range(ROUNDS)]
    finally:
        for part in (entry, *targets):
            part.close()
    direct_ms = median(load.client_ms + load.server_ms for load in direct)
    hop_ms = median(load.server_ms for load in forwarded)
    p50 = median(load.p50_ms for load in forwarded), median(load.p50_ms for load in direct)
    p99 = median(load.p99_ms for load in forwarded), median(load.p99_ms for load in direct)
    return [
        Row("hop_cpu_ratio", direct_ms / hop_ms, "ratio", 1.0, Goal(GoalKind.AT_LEAST, 0.8)),
        Row("added_latency_ms_p50", p50[0] - p50[1], "ms", p50[1], Goal(GoalKind.AT_MOST, 2.0)),
        Row("added_latency_ms_p99", p99[0] - p99[1], "ms", p99[1], Goal(GoalKind.AT_MOST, 8.0)),
        Row(
            "entry_rest_rss_mb",
            idle_rss_mb[0],
            "MB",
            idle_rss_mb[1],
            Goal(GoalKind.AT_MOST, MAX_RSS_MB),
        ),
    ]
