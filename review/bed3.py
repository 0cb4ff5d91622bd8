"""Runs a small deployment of the project on loopback addresses for the cases of this review.

The control and entry processes are the project's own, started with the command of the deploy file.
Executors, the platform's list of machines, clients and the operator are small stand-ins that follow
PROTOCOL.md. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "queues.example"
# Bounds of the example in DEPLOY.md.
HOLD_MAX_MS = 6000
STOP_S = 0.4
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 1.0
RESTORE_S = 0.6
CONTACT_S = 3.0
HEARTBEAT_S = 1.5
# Further breaks are in the record only.
MAX_PRINTED = 6
BOUNDS = {
    "seed-lag-s": 3,
    "contact-ms": 3000,
    "ack-timeout-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-apply-ms": 2000,
    "recovery-s": 12,
    "hold-max-ms": HOLD_MAX_MS,
    "stop-timeout-ms": 400,
    "gang-timeout-ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "remote-factor": 1.5,
    "checkpoint-interval-s": 1,
    "restore-ms": 600,
    "lease-ms": 3000,
}


class CannotRun(Exception):
    """The case can't be run here."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text)


async def http(method, url, body=None, headers=(), timeout=1.0, redirects=2):
    """Return the status and the JSON body (None if there is none) of one call."""
    address, _, path = url.removeprefix("http://").partition("/")
    host, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} /{path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
    names = {name.lower() for name, _ in headers}
    if "host" not in names:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in headers]
    if data:
        lines.append("Content-Type: application/json")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in head[1:])
            }
            length = int(fields.get("content-length", "0"))
            content = await reader.readexactly(length) if length else b""
            return int(head[0].split()[1]), fields, content
        finally:
            writer.close()

    try:
        status, fields, content = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    if status == 307 and redirects:
        return await http(method, fields["location"], body, headers, timeout, redirects - 1)
    try:
        return status, json.loads(content) if content else None
    except ValueError:
        return status, None


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class GangRun:
    """One run of a gang: its members start to work when all of them are present."""

    def __init__(self):
        self.members = {}
        self.has_begun = False


class Work:
    """What the platform knows of the jobs that clients submitted, and what ran."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.gangs = {}
        self.starts = []
        self.ends = []
        self.noted = []
        # Set if the queues of a case need advice.
        self.adviser = None
    
    def step(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job][int(step)]

    def work_s(self, task):
        return self.step(task)["work_s"]

    def gang(self, task, run):
        return self.gangs.setdefault((task.rsplit(".", 1)[0], run), GangRun())


class Adviser:
    """Names the executors that may run a step, one call at a time."""

    MAX_WAITING = 32

    def __init__(self, record, decision_ms, per_worker_ms, validity_ms, is_approved):
        self.record = record
        self.decision_ms, self.per_worker_ms = decision_ms, per_worker_ms
        self.validity_ms = validity_ms
        self.is_approved = is_approved
        self.tickets = {}
        self.waiting = 0
        self.turn = asyncio.Lock()
        self.answered = self.refused = self.left = 0
        self.asked_steps = {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                length = next(
                    (int(x.split(":")[1]) for x in head if x.lower().startswith("content-length")), 0
                )
                body = json.loads(await reader.readexactly(length))
                status, answer = await self.advise(body, reader)
                if status == 0:
                    return
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def advise(self, body, reader):
        step, workers = body["step"], body["workers"]
        self.asked_steps[step] = self.asked_steps.get(step, 0) + 1
        if self.waiting >= self.MAX_WAITING:
            self.refused += 1
            return 429, {}
        self.waiting += 1
        try:
            await self.turn.acquire()
        finally:
            self.waiting -= 1
        try:
            if reader.at_eof() or reader.exception() is not None:
                # Its caller has given up, so it takes no time.
                self.left += 1
                return 0, {}
            await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(workers)) / 1000)
        finally:
            self.turn.release()
        self.answered += 1
        until = time.monotonic() + self.validity_ms / 1000
        approved = []
        for worker in workers:
            if self.is_approved(step, worker):
                ticket = f"{random.getrandbits(48):012x}"
                self.tickets[ticket] = (step, worker, until)
                approved.append([worker, ticket])
        return 200, {"approved": approved, "validity-ms": self.validity_ms}

    def is_valid(self, ticket, task, worker):
        known = self.tickets.get(ticket)
        step = task.rsplit(".", 1)[0]
        return known is not None and known[:2] == (step, worker) and time.monotonic() < known[2]


class Run:
    def __init__(self, task, number, checkpoint, restore):
        self.task = task
        self.number = number
        self.checkpoint = checkpoint
        # The milliseconds of work that the checkpoint holds.
        self.saved_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.restore = restore
        self.present_at = time.monotonic()
        self.began_at = None
        self.stopping_at = None


class Executor:
    """One executor; `restart` gives it another life."""

    def __init__(self, work, name, service, zone, rack, control, cores=16):
        self.work = work
        self.record = work.record
        self.name = name
        self.service = service
        self.zone = zone
        self.rack = rack
        self.control = list(control)
        self.cores = cores
        self.host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        self.port = free_port()
        self.joined = asyncio.Event()
        self.joined.set()
        self.tasks = []
        self.is_up = False
        self.state = "ready"
        self.kind = "a"

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        """Begin a life, in which nothing of before is known."""
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic() - 1.0
        self.sequence = 0
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.stopped = {}
        self.finished = []
        self.count = 0
        self.changed = asyncio.Event()
        self.writers = set()
        self.is_up = True
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]

    async def crash(self):
        """End at once, as a killed process does."""
        self.record.write(f"{self.name} crashes, running {sorted(self.runs)}")
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        for run in list(self.runs.values()):
            self.leave_gang(run, "crashed")
        self.runs = {}

    def cut(self):
        """Cut the executor off from all machines; bytes wait, as behind a partition."""
        self.record.write(f"{self.name} is cut off")
        self.joined.clear()

    def join(self):
        self.record.write(f"{self.name} is reachable again")
        self.joined.set()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    async def beat(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        while True:
            if self.joined.is_set():
                self.sequence += 1
                await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_beat(self):
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "capacity": {"cpu": self.cores * 1000, "mem-mb": 32768, "gpu": 0},
            "labels": [self.kind, self.rack],
            "clock-ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
            "machine": f"m-{self.name}",
        }
        for control in list(self.control):
            url = f"http://{control}/instances/{self.name}/heartbeat"
            status, answer = await http("POST", url, body)
            if status == 200:
                named = (answer or {}).get("heartbeat-address")
                if named in self.control:
                    self.control.remove(named)
                    self.control.insert(0, named)
                return

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                data = await reader.readexactly(int(fields.get("content-length", "0")))
                while not self.joined.is_set():
                    # The bytes are lost if their sender resets the connection.
                    await asyncio.sleep(0.01)
                    if reader.at_eof() or reader.exception() is not None:
                        return
                path = lines[0].split()[1]
                if fields.get("x-expected-instance", self.name) != self.name:
                    status, answer = 421, {}
                elif lines[0].startswith("GET"):
                    status, answer = 200, {}
                else:
                    status, answer = await self.answer(path, json.loads(data))
                if not self.is_up:
                    return
                answer = {"clock-ms": self.clock_ms(), "born": self.born, **answer}
                content = json.dumps(answer).encode()
                await self.joined.wait()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, body):
        if body.get("fencing-token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencing-token", 0)
        if path == "/run-start":
            status, answer = self.begin(body)
            self.record.write(
                f"{self.name} /run-start {body['task']} run {body['run']}"
                f" checkpoint {body.get('checkpoint', '')!r} -> {status} {answer.get('reason', '')}"
            )
            return status, answer
        if path == "/run-stop":
            self.record.write(f"{self.name} /run-stop {body['task']} run {body['run']}")
            task, number = body["task"], body["run"]
            self.stopped[task] = max(number, self.stopped.get(task, 0))
            run = self.runs.get(task)
            if run is not None and run.number <= number and run.stopping_at is None:
                run.stopping_at = time.monotonic()
            return 200, {}
        if path == "/hold":
            return 200, await self.hold(body)
        if path == "/pace":
            return 200, {}
        return 404, {}

    def extend(self, deadline_ms):
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    def used_cpu(self):
        return sum(self.work.step(task).get("cpu", 0) for task in self.runs)

    def begin(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if body["deadline-ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["deadline-ms"])
        if run is not None or number <= self.stopped.get(task, 0):
            return 409, {"reason": "old"}
        if self.used_cpu() + self.work.step(task).get("cpu", 0) > self.cores * 1000:
            return 409, {"reason": "room"}
        adviser = self.work.adviser
        if adviser is not None and not adviser.is_valid(body.get("ticket"), task, self.name):
            return 409, {"reason": "ticket"}
        checkpoint = body.get("checkpoint", "")
        run = self.runs[task] = Run(task, number, checkpoint, RESTORE_S if checkpoint else 0.0)
        self.work.starts.append((self.record.now(), task, number, self.name, checkpoint))
        if self.work.step(task).get("gang"):
            self.join_gang(run)
        else:
            run.began_at = time.monotonic()
        return 200, {}

    def join_gang(self, run):
        gang = self.work.gang(run.task, run.number)
        gang.members[run.task] = (self, run)
        count = self.work.step(run.task)["count"]
        # The members of a gang must all carry the same value.
        if len(gang.members) == count and len({r.checkpoint for _, r in gang.members.values()}) == 1:
            gang.has_begun = True
            for _, member in gang.members.values():
                member.began_at = time.monotonic()

    def leave_gang(self, run, how):
        if not self.work.step(run.task).get("gang"):
            return
        gang = self.work.gang(run.task, run.number)
        gang.members.pop(run.task, None)
        if how == "done" or not gang.has_begun:
            return
        for executor, member in list(gang.members.values()):
            gang.members.pop(member.task, None)
            executor.end(member, "broken")

    def progress_ms(self, run):
        if run.began_at is None:
            return run.saved_ms
        worked = time.monotonic() - run.began_at - run.restore
        return run.saved_ms + int(max(0.0, worked) * 1000)

    def saved(self, run, exact=False):
        """Return the checkpoint of a run: after each interval of work, and at a stop."""
        if not self.work.step(run.task).get("checkpointing"):
            return ""
        done_ms = self.progress_ms(run)
        if not exact:
            interval_ms = int(CHECKPOINT_S * 1000)
            done_ms = run.saved_ms + (done_ms - run.saved_ms) // interval_ms * interval_ms
        if done_ms <= 0:
            return run.checkpoint
        step = run.task.rsplit(".", 1)[0]
        name = step if self.work.step(run.task).get("gang") else run.task
        return f"{done_ms:08x}{zlib.crc32(name.encode()):08x}"

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        saved = self.saved(run, exact=how == "stopped")
        del self.runs[run.task]
        self.count += 1
        self.finished.append([self.count, run.task, run.number, how, saved])
        self.stopped[run.task] = max(run.number, self.stopped.get(run.task, 0))
        self.work.ends.append((self.record.now(), run.task, run.number, self.name, how))
        self.record.write(f"{self.name} ends {run.task} run {run.number}: {how}, saved {saved!r}")
        self.changed.set()
        self.changed = asyncio.Event()
        self.leave_gang(run, how)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            lapsed = self.clock_ms() > self.deadline_ms
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stopping_at is not None and now - run.stopping_at >= STOP_S / 2:
                    self.end(run, "stopped")
                elif run.began_at is None:
                    if now - run.present_at >= GANG_TIMEOUT_S:
                        self.end(run, "alone")
                elif self.progress_ms(run) >= self.work.work_s(run.task) * 1000:
                    self.end(run, "done")

    async def hold(self, body):
        for row in self.finished:
            if row[0] <= body["last-seen"]:
                self.work.noted.append((self.record.now(), row[1], row[2], self.name, row[3]))
                self.record.write(f"{self.name} end {row[1]} run {row[2]} {row[3]} is taken note of")
        self.finished = [row for row in self.finished if row[0] > body["last-seen"]]
        self.extend(body.get("deadline-ms", 0))
        if not self.finished and body.get("wait-ms"):
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), body["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        rows = []
        for run in self.runs.values():
            percent = min(99, int(self.progress_ms(run) / self.work.work_s(run.task) / 10))
            rows.append([run.task, run.number, self.saved(run), percent, 0])
        return {"running": rows, "finished": self.finished[:500]}


class Deployment:
    """Three control processes and two entry processes, the operator and the clients."""

    def __init__(self, record, extra=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.control_port, self.peer_port = free_port(), free_port()
        self.client_port, self.ready_port = free_port(), free_port()
        self.metrics_port, self.cloud_port = free_port(), free_port()
        base = random.randint(10, 250), random.randint(1, 250)
        hosts = [f"127.{base[0]}.{base[1]}.{n}" for n in range(10, 15)]
        self.controls, self.entries = hosts[:3], hosts[3:]
        self.cloud_host = f"127.{base[0]}.{base[1]}.20"
        self.processes = {}
        self.work = Work(record)
        self.executors = []
        self.advice_port = free_port()
        self.extra = extra or {}
        self.version = 0

    @property
    def control_addresses(self):
        return [f"{host}:{self.control_port}" for host in self.controls]

    def settings(self, host, first):
        is_control = host in self.controls
        lines = {
            "node-name": f"node-{host}",
            "ip": host,
            "zone": f"zone-{int(host.rsplit('.', 1)[1]) % 3}",
            "internal-port-range": f"{self.peer_port},{self.peer_port}",
            "metrics-port": self.metrics_port,
            "seeds": ",".join(self.control_addresses),
            "bootstrap": "true" if first else "false",
            "limits.memory-mb": 300,
            "limits.max-fds": 1000,
            "heartbeat-ms": 1500,
            "commands": "invocation",
            "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault-tolerance.machines": 1,
            "cloud-api.address": f"{self.cloud_host}:{self.cloud_port}",
            "advice": f"{self.cloud_host}:{self.advice_port}",
            "cloud-api.rate-per-s": 64.0,
            "cloud-api.duty-per-s": 64.0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            **self.extra,
        }
        if is_control:
            data = self.folder / f"data-{host}"
            data.mkdir(exist_ok=True)
            lines |= {"listen.control": f"{host}:{self.control_port}", "data-dir": data}
        else:
            lines |= {
                "listen.frontend": f"{host}:{self.client_port}",
                "listen.ready": f"{host}:{self.ready_port}",
            }
        path = self.folder / f"settings-{host}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    async def start_process(self, host, first=False):
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG", "PYENV_VERSION", "PYENV_ROOT")
        }
        environment["MARIGOLDDOOR_BOOT"] = str(self.settings(host, first))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self.folder / f"log-{host}.txt", "ab")
        self.processes[host] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marigolddoor_platform",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
        )
        log.close()

    def signal(self, host, number):
        self.record.write(f"{signal.Signals(number).name} to {host}")
        self.processes[host].send_signal(number)

    async def serve_cloud(self, reader, writer):
        """Answer GET /machines; the cases need no moves and no upkeep."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                length = next(
                    (int(x.split(":")[1]) for x in head if x.lower().startswith("content-length")), 0
                )
                await reader.readexactly(length)
                machines = [
                    {
                        "machine": f"m-{e.name}",
                        "pool": e.service,
                        "state": "up",
                        "zone": e.zone,
                        "labels": [e.kind, e.rack],
                        "capacity": {"cpu": e.cores * 1000, "mem-mb": 32768, "gpu": 0},
                        "id": e.name,
                    }
                    for e in self.executors
                ]
                is_list = head[0].startswith("GET /machines")
                status, body = (200, {"machines": machines}) if is_list else (409, {"reason": "busy"})
                content = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def start(self, executors, services, routes):
        """Start everything and wait until it serves."""
        if not (ROOT / "target" / "deps" / "marigolddoor_platform").exists():
            raise CannotRun("the build of the deploy file has not been run")
        self.cloud = await asyncio.start_server(self.serve_cloud, self.cloud_host, self.cloud_port)
        if self.work.adviser is not None:
            serve = self.work.adviser.serve
            self.advice = await asyncio.start_server(serve, self.cloud_host, self.advice_port)
        for host in self.controls + self.entries:
            await self.start_process(host, first=True)
        self.services, self.routes = services, routes
        self.executors = executors
        for executor in executors:
            await executor.start()
        deadline = time.monotonic() + 25
        while time.monotonic() < deadline:
            if await self.configure(1):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the first configuration was not acknowledged")
        for host in self.entries:
            while (await http("GET", f"http://{host}:{self.ready_port}/readiness"))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("an entry process is not ready")
                await asyncio.sleep(0.1)
        self.record.write("the deployment serves")

    def document(self, version):
        return {
            "version": version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }

    async def configure(self, version):
        for address in self.control_addresses:
            url = f"http://{address}/configuration/replace"
            status, _ = await http("POST", url, self.document(version))
            if status == 200:
                self.version = version
                self.record.write(f"configuration {version} acknowledged by {address}")
                return True
        return False

    async def leader(self):
        for host in self.controls:
            url = f"http://{host}:{self.control_port}/configuration/read"
            if (await http("GET", url, redirects=0))[0] == 200:
                return host
        return None

    async def call(self, method, path, body=None, deadline_s=3.0, entry=None):
        host = entry or random.choice(self.entries)
        headers = [("Host", HOST), ("X-Deadline-Ms", int(deadline_s * 1000))]
        url = f"http://{host}:{self.client_port}{path}"
        status, answer = await http(method, url, body, headers, deadline_s)
        self.record.write(f"client {method} {path} at {host} -> {status} {answer}")
        return status, answer

    async def submit(self, steps, spec="work", path="/tasks/", repeat=None, job=None):
        """Submit a job until it is accepted. `work_s` of a step is for the stand-ins only."""
        job = job or f"{random.getrandbits(64):016x}"
        self.work.jobs[job] = steps
        sent = [{k: v for k, v in step.items() if k != "work_s"} for step in steps]
        body = {"spec": spec, "steps": sent, **(repeat or {})}
        for _ in range(10):
            status, _ = await self.call("POST", path + job, body)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.5)
        raise CannotRun(f"job {job} was not accepted")

    async def state(self, job, path="/tasks/"):
        status, answer = await self.call("GET", path + job)
        return (answer or {}).get("state") if status == 200 else f"status {status}"

    async def end(self):
        """End all processes that this case started."""
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        for executor in self.executors:
            for task in executor.tasks:
                task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("log-*.txt"):
                shutil.copy(log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name="r-1", prefix="/tasks/", service="desk", **fields):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": "unsafe",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 0,
        "service": service,
        "max-attempts": 3,
        "slack-factor": 1.6,
        **fields,
    }


def service(name="desk", **fields):
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": 64,
        "protocol": "h1",
        "tls": False,
        "enforces-capacity": True,
        "standby": False,
        **fields,
    }


def pool(deployment, count, name="desk", prefix="i", cores=16):
    """Return executors in three zones, four in a rack."""
    return [
        Executor(
            deployment.work,
            f"{prefix}-{n:02d}{random.getrandbits(24):06x}",
            name,
            f"zone-{n % 3}",
            f"r{n % 3}-{n // 12}",
            deployment.control_addresses,
            cores,
        )
        for n in range(count)
    ]


def run_case(folder, case):
    """Run `case(deployment, record)`, which returns the breaks; exit as the issue asks."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def main():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record), 110)
        finally:
            await deployment.end()

    try:
        breaks = asyncio.run(main())
    except Exception as error:
        # Also an error of the script itself, which shows nothing about the rule.
        record.say(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(2)
    for number, line in enumerate(breaks):
        (record.say if number < MAX_PRINTED else record.write)(f"BROKEN {line}")
    record.say(f"{len(breaks)} breaks")
    sys.exit(1 if breaks else 0)
