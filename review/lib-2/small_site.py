"""A small deployment for the scripts of this review: real processes, small stand-ins.

The project's processes are started with the command of `deploy/system.toml`. Executors, the
operator, clients and the platform's interface for machines are stand-ins in this process, written
from the users' pages with the standard library only. Every address is a loopback address.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_MS = 100
MIGRATION_S = 1.5
ENDS_A_TIME = 500
QUEUE_HOST = "pule25.example"
PREFIX = "/puxa400/"


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def find_hosts(count):
    """Return loopback addresses of a block that nothing else uses, and free ports on them."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    while True:
        prefix = f"127.{rng.randint(2, 250)}.{rng.randint(1, 250)}"
        hosts = [f"{prefix}.{n}" for n in range(10, 10 + count)]
        ports = rng.sample(range(20000, 30000), 4)
        try:
            for host in hosts:
                for port in [*ports, 9464]:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((host, port))
        except OSError:
            continue
        return prefix, hosts, ports


# --- HTTP/1.1 -----------------------------------------------------------------------------------


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


class HttpError(Exception):
    """A call got no complete answer."""


class HttpLine:
    """A connection that stays open for several calls."""

    def __init__(self):
        self.address = None
        self.reader = self.writer = None

    async def call(self, address, method, path, body=None, headers=(), timeout=1.0):
        """Return status, headers and body.

        Raises:
          HttpError: there was no complete answer in time.
        """
        try:
            return await asyncio.wait_for(
                self._call(address, method, path, body, headers), timeout
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise HttpError(f"{type(error).__name__} {error}") from error

    async def _call(self, address, method, path, body, headers):
        if self.writer is None or self.address != address:
            self.close()
            host, _, port = address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
            self.address = address
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        fields = {"Host": address, "Content-Type": "application/json", **dict(headers)}
        fields["Content-Length"] = str(len(data))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise HttpError("the connection was closed")
        line, answer_headers, answer = message
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split()[1]), answer_headers, answer

    def close(self):
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.close()
        self.reader = self.writer = self.address = None


async def call_once(address, method, path, body=None, headers=(), timeout=1.0):
    """Make one call on a connection of its own."""
    line = HttpLine()
    try:
        return await line.call(address, method, path, body, headers, timeout)
    finally:
        line.close()


async def serve(host, port, answer):
    """Serve `answer(method, path, headers, body) -> (status, object)`; None breaks off."""

    async def connected(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                result = await answer(method, path, headers, body)
                if result is None:
                    return
                status, value = result
                data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    server = await asyncio.start_server(connected, host, port, limit=2**24, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Proxy:
    """Forwards connections to a target; each direction can be held up, as by a partition.

    While a direction is blocked its bytes wait, and go on when it is open again. No connection can
    be opened while either direction is blocked. Bytes are lost if their sender closed meanwhile.
    """

    def __init__(self, target):
        self.target = target
        self.address = None
        self.forward = asyncio.Event()
        self.backward = asyncio.Event()
        self.forward.set()
        self.backward.set()

    async def start(self, host):
        server = await asyncio.start_server(self._connected, host, 0, backlog=1024)
        self.server = server
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        return self

    async def _connected(self, reader, writer):
        await self.forward.wait()
        await self.backward.wait()
        host, _, port = self.target.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        pumps = [
            asyncio.create_task(self._pump(reader, back, self.forward)),
            asyncio.create_task(self._pump(there, writer, self.backward)),
        ]
        await asyncio.wait(pumps)
        for end in (back, writer):
            with contextlib.suppress(Exception):
                end.close()

    async def _pump(self, source, sink, is_open):
        try:
            while data := await source.read(65536):
                await is_open.wait()
                if source.exception() is not None:
                    # The sender reset the connection: what was held up is lost.
                    return
                sink.write(data)
                await sink.drain()
            await is_open.wait()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(Exception):
                sink.close()


# --- Executors ----------------------------------------------------------------------------------


class Run:
    def __init__(self, number, size, ends_at, starts_at, lasts):
        self.number, self.size, self.ends_at = number, size, ends_at
        self.starts_at, self.lasts = starts_at, lasts
        self.stop_at = None


class Ledger:
    """What ran where: starts and ends of all executors, in order."""

    def __init__(self, record):
        self.record = record
        # Each run: task, executor, number, start, end, how, whether its end was taken note of.
        self.runs = []

    def started(self, task, executor, number):
        run = {
            "task": task,
            "executor": executor,
            "run": number,
            "start": self.record.now(),
            "end": None,
            "how": None,
            "noted": None,
        }
        self.runs.append(run)
        return run

    def of(self, task):
        return [run for run in self.runs if run["task"] == task]


class Executor:
    """One executor. A task's true duration is in its `spec`: {"work-ms": N}, or "lasts".

    Resources are those of a machine of the small sites: 16 cores, 32 GB. The job's steps tell how
    much a task needs: `sizes` maps the first part of a task's name and its step to its size, as the
    platform knows it from the job.
    """

    def __init__(self, site, name, host, service, zone):
        self.site, self.name, self.host = site, name, host
        self.service, self.zone = service, zone
        # The machine that this is a life of; another life follows after a move.
        self.machine = f"m-{name}"
        self.record, self.ledger = site.record, site.ledger
        self.began = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.sequence = 0
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.entries = {}
        self.rejected = {}
        self.finished = []
        self.count = 0
        self.changed = asyncio.Event()
        self.control = list(site.control_addresses)
        self.line = HttpLine()
        self.dial = lambda address: address
        self.address = None
        self.is_up = True
        self.remaining_ms = 0
        self.tasks = []
        self.kind = "a"
        self.inward, self.outward = None, {}

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def start(self, address=None):
        """Serve and send heartbeats. `address` is what others are told, such as a proxy's."""
        self.server, port = await serve(self.host, 0, self._serve)
        self.own_address = f"{self.host}:{port}"
        self.address = address or self.own_address
        self.tasks = [asyncio.create_task(self._clock())]

    async def start_behind_proxies(self):
        """Serve behind a proxy, and call control processes through proxies, so that it can be cut."""
        self.inward = Proxy(None)
        await self.start()
        self.inward.target = self.own_address
        self.address = (await self.inward.start(self.host)).address
        for address in self.site.control_addresses:
            self.outward[address] = await Proxy(address).start(self.host)
        self.dial = lambda address: self.outward[address].address

    def cut_inward(self):
        """Hold up all that is sent to this executor: calls, and answers to its own calls."""
        self.record(f"{self.name}: cut off: nothing reaches it any more")
        self.inward.forward.clear()
        for proxy in self.outward.values():
            proxy.backward.clear()

    def cut_outward(self):
        """Hold up all that this executor sends."""
        self.record(f"{self.name}: cut off: nothing that it sends arrives any more")
        self.inward.backward.clear()
        for proxy in self.outward.values():
            proxy.forward.clear()

    def heal(self):
        """End the cut."""
        self.record(f"{self.name}: the cut ends")
        for proxy in (self.inward, *self.outward.values()):
            proxy.forward.set()
            proxy.backward.set()

    def begin_beats(self):
        self.tasks.append(asyncio.create_task(self._beats()))

    def end(self):
        """End: everything that runs here ends with it."""
        if not self.is_up:
            return
        self.is_up = False
        for task in list(self.runs):
            entry = self.entries.pop((task, self.runs[task].number))
            entry["end"], entry["how"] = self.record.now(), "gone"
        self.runs.clear()
        self.server.close()
        self.line.close()
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.record(f"executor {self.name} ends")

    # Heartbeats

    async def _send(self, path, body):
        """Send a call until a node acknowledges it; return its answer or None."""
        for address in list(self.control):
            target, hops = address, 0
            try:
                while True:
                    status, headers, answer = await self.line.call(
                        self.dial(target), "POST", path, body, timeout=1.0
                    )
                    if status == 307 and hops < 2:
                        place = headers["location"].removeprefix("http://")
                        target, _, _ = place.partition("/")
                        hops += 1
                        continue
                    break
            except HttpError as error:
                self.record(f"{self.name}: {path} at {target}: no answer ({error})")
                continue
            if 200 <= status < 300:
                return json.loads(answer) if answer else {}
            self.record(f"{self.name}: {path} at {target}: {status}")
        return None

    def _beat(self):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
            "labels": [self.kind, f"r-{self.zone}"],
            "clock-ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
            "machine": self.machine,
        }
        if self.state == "draining":
            body["remaining-ms"] = self.remaining_ms
        return body

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        answer = await self._send(f"/instances/{self.name}/heartbeat", self._beat())
        if answer is None:
            return False
        address = answer.get("heartbeat-address")
        if address in self.control:
            self.control.remove(address)
            self.control.insert(0, address)
        return True

    async def _beats(self):
        while self.is_up:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def deregister(self):
        """Say that this executor ends now; return whether that was acknowledged."""
        self.record(f"{self.name}: POST /instances/{self.name}/deregister")
        answer = await self._send(f"/instances/{self.name}/deregister", {})
        self.record(f"{self.name}: deregister {'acknowledged' if answer is not None else 'not'}")
        return answer is not None

    # Runs

    async def _clock(self):
        while self.is_up:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            is_over = bool(self.runs) and self.clock_ms() > self.deadline_ms
            for task, run in list(self.runs.items()):
                if is_over:
                    self._finish(task, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self._finish(task, "stopped")
                elif not run.lasts and now >= run.ends_at:
                    self._finish(task, "done")

    def _finish(self, task, how):
        run = self.runs.pop(task)
        self.count += 1
        self.finished.append([self.count, task, run.number, how, ""])
        self.rejected[task] = max(run.number, self.rejected.get(task, 0))
        entry = self.entries.pop((task, run.number))
        entry["end"], entry["how"], entry["number"] = self.record.now(), how, self.count
        entry["holder"] = self
        if self.site.verbose:
            self.record(f"{self.name}: {task} run {run.number} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def _extend(self, deadline_ms):
        limit = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(int(deadline_ms), limit))

    async def _serve(self, method, path, headers, body):
        if not self.is_up:
            return None
        expected = headers.get("x-expected-instance", self.name)
        if expected != self.name:
            return 421, self._said({})
        fields = json.loads(body or b"{}")
        if fields.get("fencing-token", 0) < self.token:
            return 409, self._said({"reason": "fence"})
        self.token = fields.get("fencing-token", 0)
        if path == "/run-start":
            status, answer = self._start(fields)
        elif path == "/run-stop":
            status, answer = self._stop(fields)
        elif path == "/hold":
            status, answer = await self._hold(fields)
        elif path == "/pace":
            status, answer = 200, {}
        else:
            status, answer = 404, {}
        return (status, self._said(answer)) if self.is_up else None

    def _said(self, answer):
        return {"clock-ms": self.clock_ms(), "born": self.born, **answer}

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if fields["deadline-ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if number <= self.rejected.get(task, 0) or run is not None:
            self._extend(fields["deadline-ms"])
            return 409, {"reason": "old"}
        size = self.site.size_of(task)
        used = [sum(other.size[n] for other in self.runs.values()) for n in (0, 1)]
        if used[0] + size[0] > 16000 or used[1] + size[1] > 32768:
            self._extend(fields["deadline-ms"])
            return 409, {"reason": "room"}
        self._extend(fields["deadline-ms"])
        now = time.monotonic()
        work = json.loads(fields["spec"])
        lasts = bool(work.get("lasts"))
        work_ms = work.get("work-ms", 0)
        if isinstance(work_ms, list):
            work_ms = work_ms[int(task.split(".")[2])]
        work_ms += work.get("more-ms", 0) * int(task.split(".")[3])
        self.runs[task] = Run(number, size, now + work_ms / 1000, now, lasts)
        self.entries[task, number] = self.ledger.started(task, self.name, number)
        if self.site.verbose:
            self.record(f"{self.name}: start of {task} run {number}, token {self.token}")
        return 200, {}

    def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        self.rejected[task] = max(number, self.rejected.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
        return 200, {}

    async def _hold(self, fields):
        seen = fields["last-seen"]
        self.finished = [row for row in self.finished if row[0] > seen]
        for run in self.ledger.runs:
            if run.get("holder") is self and run["number"] <= seen and run["noted"] is None:
                run["noted"] = self.record.now()
        if fields.get("deadline-ms"):
            self._extend(fields["deadline-ms"])
        wait_ms = min(2000, fields.get("wait-ms", 0))
        if not self.finished and wait_ms:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
        now = time.monotonic()
        running = [
            [task, run.number, "", 100 if now - run.starts_at >= 0.7 else 0, 0]
            for task, run in self.runs.items()
        ]
        return 200, {"running": running, "finished": self.finished[:ENDS_A_TIME]}


# --- The deployment -----------------------------------------------------------------------------


class Site:
    """Three control processes, some entry processes, and executors of one service or more."""

    def __init__(self, record, verbose=True, entries=2):
        self.record = record
        self.verbose = verbose
        self.ledger = Ledger(record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix, hosts, ports = find_hosts(3 + entries)
        self.control, self.entries = hosts[:3], hosts[3:]
        self.front_port, self.ready_port, self.control_port, self.peer_port = ports
        names = ["amman-a", "amman-b", "amman-c"]
        self.zones = {host: names[number % 3] for number, host in enumerate(hosts)}
        self.control_addresses = [f"{host}:{self.control_port}" for host in self.control]
        self.processes = {}
        self.executors = []
        self.sizes = {}
        self.leader = None
        self.next_host = 100
        self.entry_seeds = None
        self.services = ["huvo11a"]
        # Changes of the queue's fields, and the fields of further queues that differ from it.
        self.queue_fields = {}
        self.more_queues = []
        self.moves = []
        self.adviser_address = ""

    def new_host(self):
        self.next_host += 1
        return f"{self.prefix}.{self.next_host}"

    def size_of(self, task):
        job, _, step, _ = task.split(".")
        return self.sizes[job, int(step)]

    def settings(self, host, is_first):
        is_control = host in self.control
        seeds = self.control_addresses if is_control else self.entry_seeds or self.control_addresses
        lines = {
            "node-name": f"node-{host}",
            "role": "control" if is_control else "entry",
            "machine-class": "core" if is_control else "frontend",
            "serves": "control_plane" if is_control else "frontend",
            "ip": host,
            "zone": self.zones[host],
            "region": "amman",
            "internal-port-range": f"{self.peer_port},{self.peer_port}",
            "seeds": ",".join(seeds),
            "bootstrap": "true" if is_first else "false",
            "in-tolerance": "true" if is_control else "false",
            "limits.memory-mb": "296",
            "limits.max-fds": "4096",
            "discovery": "registration",
            "entry": "virtual_ip",
            "heartbeat-ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault-tolerance.machines": "1",
            "fault-tolerance.zones": "1",
            "fault-tolerance.regions": "0",
            "bounds.contact-ms": "3000",
            "bounds.drain-ms": "2000",
            "bounds.grace-s": "6",
            "bounds.hold-max-ms": str(HOLD_MAX_MS),
            "bounds.stop-timeout-ms": "900",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.remote-factor": "2",
            "bounds.migration-s": "1.5",
            "bounds.lease-ms": "3000",
            "bounds.fencing-enforced": "false",
            "config_mode": "highest",
            "commands": "invocation",
            "cloud-api.address": self.cloud_address,
            "advice": self.adviser_address,
            "cloud-api.rate-per-s": "64.0",
            "cloud-api.duty-per-s": "64.0",
        }
        if is_control:
            data = self.folder / f"data-{host}"
            data.mkdir(exist_ok=True)
            lines["listen.control"] = f"{host}:{self.control_port}"
            lines["data-dir"] = str(data)
        else:
            lines["listen.frontend"] = f"{host}:{self.front_port}"
            lines["listen.ready"] = f"{host}:{self.ready_port}"
        path = self.folder / f"settings-{host}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    def start_process(self, host, is_first=False):
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **keep,
            "MARIGOLDDOOR_BOOT": str(self.settings(host, is_first)),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.folder / f"log-{host}.txt").open("ab")
        self.processes[host] = subprocess.Popen(
            [sys.executable, "-m", "marigolddoor_platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self.record(f"process of {host} started")

    def signal(self, host, number):
        self.record(f"process of {host}: {signal.Signals(number).name}")
        self.processes[host].send_signal(number)

    async def kill(self, host):
        self.signal(host, signal.SIGKILL)
        while self.processes[host].poll() is None:
            await asyncio.sleep(0.005)

    async def start(self, executors=3):
        await self.start_cloud()
        for host in self.control + self.entries:
            self.start_process(host, is_first=True)
        for _ in range(executors):
            await self.add_executor()
        await self.configure(1)
        for host in self.entries:
            await self.wait_ready(host)
        await asyncio.sleep(2.0)
        await self.find_leader()

    def order_machine(self, path, fields):
        """Carry out an order for a machine; return the status and the reason of a refusal."""
        lives = [item for item in self.executors if item.machine == fields.get("machine")]
        if not lives:
            return 400, ""
        if path != "/machine-move":
            return 409, "wave"
        if fields.get("pool") not in self.services:
            return 400, ""
        life = lives[-1]
        if not life.is_up or life.state != "ready":
            return 409, "busy"
        if life.service != fields["pool"]:
            life.end()
            self.moves.append(asyncio.create_task(self.begin_next_life(life, fields["pool"])))
        return 200, ""

    async def begin_next_life(self, life, service):
        """Start a new executor on a machine after a move."""
        await asyncio.sleep(MIGRATION_S)
        executor = await self.add_executor(begin=False, service=service)
        executor.machine, executor.zone, executor.kind = life.machine, life.zone, life.kind
        await executor.start()
        executor.begin_beats()

    async def start_cloud(self):
        """The platform's interface for machines: a list, and moves. No wave is given here."""
        host = self.new_host()

        async def answer(method, path, headers, body):
            if path.startswith("/machines"):
                rows = [
                    {
                        "machine": executor.machine,
                        "pool": executor.service,
                        "state": "up",
                        "zone": executor.zone,
                        "labels": ["a", f"r-{executor.zone}"],
                        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                        "id": executor.name,
                    }
                    for executor in self.executors
                    if executor.is_up
                ]
                return 200, {"machines": rows, "next-token": ""}
            fields = json.loads(body or b"{}")
            status, reason = self.order_machine(path, fields)
            self.record(f"platform: {method} {path} {fields}: {status} {reason}")
            return status, {"reason": reason} if reason else {}

        self.cloud, port = await serve(host, 0, answer)
        self.cloud_address = f"{host}:{port}"

    async def add_executor(self, begin=True, service="huvo11a"):
        number = len(self.executors)
        zone = ["amman-a", "amman-b", "amman-c"][number % 3]
        name = f"i-{number:08x}"
        executor = Executor(self, name, self.new_host(), service, zone)
        self.executors.append(executor)
        if begin:
            await executor.start()
            executor.begin_beats()
        return executor

    def configuration(self, version, **changes):
        route = {
            "name": "r-snmgkcu",
            "host": QUEUE_HOST,
            "path-prefix": PREFIX,
            "kind": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "huvo11a",
            "max-attempts": 4,
            "slack-factor": 1.6,
            **self.queue_fields,
            **changes,
        }
        plain = {name: value for name, value in route.items() if name not in self.queue_fields}
        routes = [route, *({**plain, **fields} for fields in self.more_queues)]
        services = [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforces-capacity": True,
                "standby": False,
            }
            for name in self.services
        ]
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        return {"version": version, "routes": routes, "services": services, "limits": limits}

    async def control_call(self, method, path, body=None, tries=200):
        """Call as the operator does: any node, two redirects, again after no clear answer."""
        for attempt in range(tries):
            address = self.control_addresses[attempt % 3]
            try:
                for _ in range(3):
                    status, headers, answer = await call_once(address, method, path, body)
                    if status != 307:
                        break
                    address = headers["location"].removeprefix("http://").partition("/")[0]
            except HttpError:
                status = 0
            if status and status < 500 and status != 307:
                self.record(f"operator: {method} {path}: {status}")
                return status, answer, address
            await asyncio.sleep(0.1)
        raise RuntimeError(f"no answer to {method} {path}")

    async def configure(self, version, **changes):
        return await self.control_call(
            "POST", "/configuration/replace", self.configuration(version, **changes)
        )

    async def find_leader(self):
        """Return the host of the control process that leads."""
        _, _, address = await self.control_call("GET", "/configuration/read")
        self.leader = address.rpartition(":")[0]
        self.record(f"the leader is {self.leader}")
        return self.leader

    async def wait_ready(self, host):
        for _ in range(300):
            with contextlib.suppress(HttpError):
                status, _, _ = await call_once(f"{host}:{self.ready_port}", "GET", "/readiness")
                if status == 200:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{host} doesn't get ready")

    async def client(
        self, method, job, body=None, entry=0, deadline_s=3.0, leave_s=None, prefix=PREFIX
    ):
        """Make one call of a client; return status (0: none) and the JSON body.

        With `leave_s` the client gives up that long after the call was sent.
        """
        address = f"{self.entries[entry]}:{self.front_port}"
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        wait_s = deadline_s + 0.5 if leave_s is None else leave_s
        self.record(f"client: {method} {prefix}{job[:40]} at entry {entry}")
        try:
            status, _, answer = await call_once(
                address, method, prefix + job, body, headers, timeout=wait_s
            )
        except HttpError as error:
            self.record(f"client: {method} {job[:40]}: no answer ({error})")
            return 0, None
        value = json.loads(answer) if answer else None
        self.record(f"client: {method} {job[:40]} at entry {entry}: {status} {value}")
        return status, value

    async def submit(self, job, steps, spec, **options):
        """Hand a job in, as often as a client does; return the last status."""
        self.know(job, steps)
        body = {"spec": json.dumps(spec), "steps": steps}
        status = 0
        for attempt in range(4):
            status, _ = await self.client("POST", job, body, entry=attempt % len(self.entries), **options)
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(0.3 * 2**attempt)
        return status

    async def submit_lasting(self, count, prefix=PREFIX):
        """Hand in a job that lasts, with a task on each of `count` executors: all are needed."""
        job = new_job()
        steps = [
            {
                "count": count,
                "cpu": 100,
                "mem-mb": 64,
                "estimated-ms": 1000,
                "long-running": True,
                "anti-affinity": 1,
            }
        ]
        self.know(job, steps)
        body = {"spec": json.dumps({"lasts": True}), "steps": steps}
        status, _ = await self.client("POST", job, body, prefix=prefix)
        if status != 200:
            raise RuntimeError(f"the lasting job was not accepted: {status}")
        await asyncio.sleep(4.0)
        self.record(f"{sum(bool(item.runs) for item in self.executors)} executors are at work")

    def has_begun(self, job):
        """Return whether a task of a job has started."""
        return any(run["task"].startswith(job) for run in self.ledger.runs)

    def know(self, job, steps):
        for number, step in enumerate(steps):
            self.sizes[job, number] = (step.get("cpu", 0), step.get("mem-mb", 0))

    def end(self):
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_job():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, case, limit_s=110.0, verbose=True, entries=2):
    """Run `case(site) -> list of breaks` and return the exit status."""
    # Streams that are open at the end complain when they are collected after the loop.
    sys.unraisablehook = lambda _: None
    record = Record(folder)
    record(f"TROUBLE={os.environ.get('TROUBLE', '1')}")

    async def main():
        site = Site(record, verbose, entries)
        try:
            async with asyncio.timeout(limit_s):
                return await case(site)
        finally:
            site.end()
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    try:
        breaks = asyncio.run(main())
    except Exception as error:  # the case could not run
        record(f"the case could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    for text in breaks:
        record(f"BROKEN {text}")
        print(text)
    record("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    return 1 if breaks else 0


def breaks_of_twice(ledger):
    """TWICE: two runs of a task at one time, or a start after an end `done` that is noted.

    A run that ended because its executor ended (`gone`) was up until then. A lease that lapsed
    between an end and its note makes the end not count; the callers of this keep leases alive.
    """
    breaks = []
    tasks = {}
    for run in ledger.runs:
        tasks.setdefault(run["task"], []).append(run)
    for task, runs in tasks.items():
        for one in runs:
            for other in runs:
                if one is other or other["start"] < one["start"]:
                    continue
                if one["end"] is None or other["start"] < one["end"] - 0.02:
                    breaks.append(
                        f"TWICE {task}: run {one['run']} on {one['executor']} from"
                        f" {one['start']:.3f} to {one['end'] or -1:.3f}, run {other['run']} on"
                        f" {other['executor']} from {other['start']:.3f}"
                    )
                elif one["how"] == "done" and one["noted"] is not None:
                    breaks.append(
                        f"TWICE {task}: run {one['run']} on {one['executor']} ended done at"
                        f" {one['end']:.3f}, noted at {one['noted']:.3f}, run {other['run']} on"
                        f" {other['executor']} started at {other['start']:.3f}"
                    )
    return breaks
