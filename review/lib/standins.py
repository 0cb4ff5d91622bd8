"""Stand-ins for the review's scripts: platform, operator, clients and executors.

Standard library only. Every address is a loopback address. The system's own processes are started
with the command of `deploy/system.toml`, on the build in `target/deps`.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
MAX_LEASE_MS = 6000
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-extension-ms": 5000, "recovery-s": 12,
    "hold-max-ms": MAX_LEASE_MS, "stop-timeout-ms": 900, "gang-timeout-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remote-factor": 2, "checkpoint-interval-s": 2, "restore-ms": 250, "notice-ms": 4500,
    "migration-s": 1.5, "maintenance-s": 2, "fencing-enforced": "false", "lease-ms": 3000,
    "thaw-slack-ms": 300, "rate-interval-ms": 100, "interference-ms": 4000,
}  # fmt: skip
QUEUE_HOST = "jepu9.example"
PREFIX = "/defi252/"


def free_port():
    """Return a port that is free on every loopback address, below the ephemeral range."""
    rng = random.Random(os.urandom(8))
    while True:
        port = rng.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("", port))
                return port
            except OSError:
                continue


def host_block():
    """Return the first three octets of loopback addresses for this script."""
    return f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"


class HttpError(Exception):
    """No complete answer."""


async def http(host, port, method, path, body=b"", headers=(), timeout=3.0):
    """Send one request on a connection of its own; return status, headers and body."""
    return await asyncio.wait_for(_http(host, port, method, path, body, headers), timeout)


async def _http(host, port, method, path, body, headers):
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError as error:
        raise HttpError(str(error)) from error
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        names = {name.lower() for name, _ in headers}
        if "host" not in names:
            lines.append(f"Host: {host}:{port}")
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        lines += ["Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        return await read_response(reader)
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise HttpError(f"{type(error).__name__}: {error}") from error
    finally:
        writer.transport.abort()


async def read_response(reader):
    """Read one response that has a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    found = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            found[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(found.get("content-length", "0")))
    return status, found, body


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


SYSTEMS = []
TIMEOUT_S = 110.0


def run_script(main, folder):
    """Run `main(record)` and exit with its status: 0 held, 1 broken, 2 the case couldn't run."""
    record = Record(folder / "record.txt")

    def end(code):
        for system in SYSTEMS:
            system.close()
        # Not by the loop's own shutdown, which waits for each task of the stand-ins.
        os._exit(code)

    def give_up():
        record("not finished in time")
        end(2)

    async def run():
        try:
            end(await main(record))
        except Exception as error:
            record(f"failed: {type(error).__name__}: {error}")
            end(2)

    timer = threading.Timer(TIMEOUT_S, give_up)
    timer.daemon = True
    timer.start()
    asyncio.run(run())


class System:
    """Control and entry processes of a small deployment, each a process of its own."""

    def __init__(self, folder, record, control=3, entries=2, losses=1, machines=None, adviser=None):
        SYSTEMS.append(self)
        self.folder, self.record, self.losses = Path(folder), record, losses
        block = host_block()
        self.control = [f"{block}.{10 + i}" for i in range(control)]
        self.entries = [f"{block}.{50 + i}" for i in range(entries)]
        names = ("control", "peer", "callers", "ready", "metrics")
        self.ports = dict(zip(names, random.sample(range(12000, 30000, 7), 5)))
        self.seeds = list(self.control[:3])
        self.processes = {}
        self.ended = []  # (host, status) of processes that ended by themselves
        self.expected = set()
        self.extra = {}
        if machines:
            self.extra["cloud-api.address"] = machines
        if adviser:
            self.extra["advice"] = adviser
        self.zones = ["amman-a", "amman-b", "amman-c"]

    def settings(self, host, first):
        every = self.control + self.entries
        zone = self.zones[every.index(host) % 3]
        is_control = host in self.control
        lines = {
            "node-name": f"{'core' if is_control else 'frontend'}-{zone}-{host.split('.')[-1]}",
            "role": "control" if is_control else "entry",
            "machine-class": "core" if is_control else "frontend",
            "serves": "control_plane" if is_control else "frontend",
            "ip": host,
            "zone": zone,
            "region": "amman",
            "internal-port-range": f"{self.ports['peer']},{self.ports['peer'] + 5}",
            "metrics-port": self.ports["metrics"],
            "seeds": ",".join(f"{seed}:{self.ports['control']}" for seed in self.seeds),
            "bootstrap": "true" if first else "false",
            "in-tolerance": "true" if is_control else "false",
            "limits.max-fds": 4096,
            "discovery": "registration",
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault-tolerance.machines": self.losses,
            "fault-tolerance.zones": 1,
            "fault-tolerance.regions": 0,
            "config_mode": "highest",
            "commands": "invocation",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            **self.extra,
        }
        if is_control:
            data = self.folder / f"data-{host}"
            data.mkdir(exist_ok=True)
            lines["data-dir"] = data
            lines["listen.control"] = f"{host}:{self.ports['control']}"
        else:
            lines["listen.frontend"] = f"{host}:{self.ports['callers']}"
            lines["listen.ready"] = f"{host}:{self.ports['ready']}"
        path = self.folder / f"settings-{host}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    def start(self, host, first=False):
        """Start a process with the command of the deploy file."""
        known = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in known if name in os.environ}
        environment["MARIGOLDDOOR_BOOT"] = str(self.settings(host, first))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"log-{host}.txt", "ab") as log:
            self.processes[host] = subprocess.Popen(
                ["python3", "-m", "marigolddoor_platform"],
                cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
            )  # fmt: skip
        self.record(f"process {host} started, pid {self.processes[host].pid}")

    async def watch(self, restart=True):
        """Note processes that end by themselves and start them again, as a platform does."""
        while True:
            for host, process in list(self.processes.items()):
                status = process.poll()
                if status is not None and host not in self.expected:
                    self.ended.append((host, status))
                    self.record(f"process {host} ended by itself with status {status}")
                    del self.processes[host]
                    if restart:
                        asyncio.get_running_loop().call_later(1.0, self.start, host)
            await asyncio.sleep(0.1)

    def signal(self, host, number):
        self.record(f"signal {signal.Signals(number).name} to {host}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected.add(host)
        self.processes[host].send_signal(number)

    def close(self):
        """End all processes that were started."""
        processes = list(self.processes.values())
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()

    async def operator(self, method, path, body=b"", tries=80, timeout=1.0):
        """Send an operator's call until it is acknowledged; follows a 307 twice."""
        for attempt in range(tries):
            host, port, target = (
                self.control[attempt % len(self.control)],
                self.ports["control"],
                path,
            )
            for _ in range(3):
                try:
                    status, found, answer = await http(
                        host, port, method, target, body, timeout=timeout
                    )
                except (HttpError, TimeoutError):
                    break
                if status == 307:
                    address, _, target = found["location"].removeprefix("http://").partition("/")
                    host, _, port = address.partition(":")
                    target = "/" + target
                    continue
                if status < 500 and status not in (408, 429):
                    return status, answer, host
                break
            await asyncio.sleep(0.2)
        return 0, b"", ""

    async def leader(self):
        """Return the host of the leader, or None."""
        for host in self.control:
            try:
                status, _, _ = await http(
                    host, self.ports["control"], "GET", "/configuration/read", timeout=0.7
                )
            except (HttpError, TimeoutError):
                continue
            if status == 200:
                return host
        return None

    async def call(self, method, job, body=b"", deadline_s=3.0, entry=None, prefix=PREFIX):
        """Send a client's request; return the status (0 without an answer) and the body."""
        entry = entry or random.choice(self.entries)
        headers = [("Host", QUEUE_HOST), ("X-Deadline-Ms", str(int(deadline_s * 1000)))]
        try:
            status, _, answer = await http(
                entry, self.ports["callers"], method, prefix + job, body, headers, deadline_s + 0.1
            )
            return status, answer
        except (HttpError, TimeoutError):
            return 0, b""

    async def submit(self, job, body, tries=5, deadline_s=3.0):
        """Hand a job in, with the client's retries; return the last status."""
        status = 0
        for attempt in range(tries):
            entry = self.entries[(hash(job) + attempt) % len(self.entries)]
            status, _ = await self.call("POST", job, body, deadline_s, entry)
            self.record(f"POST {job} ({len(body)} bytes) to {entry}: {status}")
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status

    async def wait_ready(self, timeout=25.0):
        """Wait until every entry process is ready."""
        deadline = time.monotonic() + timeout
        for host in self.entries:
            while True:
                try:
                    status, _, _ = await http(host, self.ports["ready"], "GET", "/readiness")
                    if status == 200:
                        break
                except (HttpError, TimeoutError):
                    pass
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True


def configuration(version, routes=(), services=("wuno96b",), standby=()):
    """Return a complete configuration."""
    default = {
        "name": "r-snmgkcu", "host": QUEUE_HOST, "path-prefix": PREFIX, "kind": "unsafe",
        "timeout-ms": 3000, "target-latency-ms": 600, "priority": 1, "service": services[0],
        "max-attempts": 3, "slack-factor": 1.6,
    }  # fmt: skip
    return {
        "version": version,
        "routes": [default, *routes],
        "services": [
            {
                "name": name, "health-path": "/health", "max-connections": 64, "protocol": "h1",
                "tls": False, "enforces-capacity": True, "standby": name in standby,
            }
            for name in (*services, *standby)
        ],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }  # fmt: skip


class Executor:
    """One executor, by PROTOCOL.md. A task's work in ms is its step's `spec`, or `work_ms`."""

    def __init__(self, system, name, ledger, service="wuno96b", rack="r1-1", machine=None):
        self.system, self.name, self.service, self.rack = system, name, service, rack
        self.machine = machine or f"m-{name}"
        self.labels = ["a", rack]
        self.ledger = ledger
        self.born = time.time_ns() // 1_000_000
        self.clock_from = time.monotonic() - 5.0
        self.state, self.sequence, self.remaining_ms = "ready", 0, 0
        self.token, self.deadline_ms = 0, 0
        self.runs, self.floor, self.finished, self.count, self.seen = {}, {}, [], 0, 0
        self.changed = asyncio.Event()
        self.server, self.address, self.tasks = None, "", []
        self.capacity = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
        self.control = list(system.control)
        self.acknowledged = {}
        self.work_ms = 800
        self.is_dead = False

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    async def start(self, host=None, port=0):
        host = host or self.system.control[0].rsplit(".", 1)[0] + ".200"
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    def crash(self):
        """End at once; everything that runs ends too."""
        self.is_dead = True
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for name, run in self.runs.items():
            self.ledger("end", self, name, run["run"], "lost")
        self.runs = {}

    def heartbeat(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": self.address, "zone": "amman-a", "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock-ms": self.clock_ms(), "sequence": self.sequence,
            "born": self.born, "machine": self.machine,
        }  # fmt: skip
        if self.state == "draining":
            body["remaining-ms"] = self.remaining_ms
        return body

    async def send(self, path, body, retries=1):
        """Call the control address; follow a 307; use the next node without an answer."""
        data = json.dumps(body).encode()
        for host in list(self.control):
            port, target = self.system.ports["control"], path
            for _ in range(3):
                try:
                    status, found, answer = await http(
                        host, port, "POST", target, data, timeout=1.0
                    )
                except (HttpError, TimeoutError):
                    break
                if status == 307:
                    host = found["location"].removeprefix("http://").partition(":")[0]
                    continue
                if status == 200:
                    named = json.loads(answer or b"{}").get("heartbeat-address", "")
                    named = named.partition(":")[0]
                    if named in self.control:
                        self.control.remove(named)
                        self.control.insert(0, named)
                    return True
                break
        return False

    async def beat_once(self):
        body = self.heartbeat()
        if await self.send(f"/instances/{self.name}/heartbeat", body):
            self.acknowledged[body["state"]] = time.monotonic()
            return True
        return False

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.02)
            lapsed = bool(self.runs) and self.clock_ms() > self.deadline_ms
            for name, run in list(self.runs.items()):
                if lapsed:
                    self.end(name, "lapsed")
                elif time.monotonic() >= run["until"]:
                    self.end(name, run.get("how", "done"))

    def end(self, name, how):
        run = self.runs.pop(name)
        self.count += 1
        self.finished.append([self.count, name, run["run"], how, ""])
        self.floor[name] = max(run["run"], self.floor.get(name, 0))
        self.ledger("end", self, name, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while not self.is_dead:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                found = dict(
                    (line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip())
                    for line in head[1:] if ":" in line
                )  # fmt: skip
                body = await reader.readexactly(int(found.get("content-length", "0")))
                if self.is_dead:
                    break
                status, answer = await self.answer(path, found, json.loads(body or b"{}"))
                if status is None or self.is_dead:
                    break
                data = json.dumps(
                    {"clock-ms": self.clock_ms(), "born": self.born, **answer}
                ).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, path, headers, body):
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        if path == "/health":
            return 200, {}
        token = body.get("fencing-token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            name, number = body["task"], body["run"]
            self.floor[name] = max(number, self.floor.get(name, 0))
            self.ledger("stop", self, name, number, "")
            if name in self.runs and self.runs[name]["run"] <= number:
                self.end(name, "stopped")
            return 200, {}
        if path == "/hold":
            return 200, await self.hold(body)
        if path == "/pace":
            return 200, {}
        return 404, {}

    def used(self, key):
        return sum(run["size"].get(key, 0) for run in self.runs.values())

    def extend(self, deadline_ms):
        limit = self.clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def run_start(self, body):
        name, number = body["task"], body["run"]
        if name in self.runs and self.runs[name]["run"] == number:
            return 200, {}
        if body["deadline-ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadline-ms"])
        if name in self.runs or number <= self.floor.get(name, 0):
            return 409, {"reason": "old"}
        work_s = self.work_ms / 1000
        self.runs[name] = {"run": number, "until": time.monotonic() + work_s, "size": {}}
        self.ledger("start", self, name, number, body.get("spec", "")[:40])
        return 200, {}

    async def hold(self, body):
        self.finished = [row for row in self.finished if row[0] > body.get("last-seen", 0)]
        self.extend(body.get("deadline-ms", 0))
        if not self.finished and body.get("wait-ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(2000, body["wait-ms"]) / 1000)
            except TimeoutError:
                pass
        running = [
            [name, run["run"], "", min(100, run.get("percent", 50)), 0]
            for name, run in self.runs.items()
        ]
        return {"running": running, "finished": self.finished[:500]}


class Ledger:
    """What ran where; detects a task that runs twice at the same time."""

    def __init__(self, record):
        self.record, self.running, self.done, self.starts, self.twice = record, {}, set(), [], []

    def __call__(self, what, executor, task, run, detail):
        self.record(f"{what} {task} run {run} at {executor.name}/{executor.born} {detail}")
        if what == "start":
            self.starts.append((time.monotonic(), task, run, executor))
            runs = self.running.setdefault(task, set())
            if runs:
                self.twice.append(task)
            runs.add((executor.name, run))
        elif what == "end":
            self.running.get(task, set()).discard((executor.name, run))
            if detail == "done":
                self.done.add(task)


def job_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))
