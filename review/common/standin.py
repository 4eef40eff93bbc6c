"""Stand-ins for the review's cases: database hosts, discovery, clients and the platform that starts a router.

They follow the protocol pages and use loopback addresses and Python's standard library only.
"""

import asyncio
import ctypes
import fcntl
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
MS = 1_000_000
SECOND = 1_000_000_000
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
REFUSALS = ("53300", "57P03")
SIOCOUTQ = 0x5411


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def disrupted():
    """Returns whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time; written to `record.txt` at the end."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.started = time.monotonic()
        self.lines = []

    def add(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at, text))

    def write(self):
        self.lines.sort(key=lambda line: line[0])
        with open(self.path, "w", encoding="utf-8") as out:
            for at, text in self.lines:
                out.write(f"{at - self.started:9.3f} s  {text}\n")


def message(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def error(code, text, detail=None):
    body = b"SERROR\0VERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0"
    if detail is not None:
        body += b"D" + str(detail).encode() + b"\0"
    return message(b"E", body + b"\0")


ROW_DESCRIPTION = message(b"T", b"\0\1v\0" + struct.pack(">IhIhih", 0, 0, 17, -1, -1, 1))
READY = message(b"Z", b"I")
AUTHENTICATED = message(b"R", b"\0\0\0\0")
STARTUP_BODY = struct.pack(">I", 196608) + b"user\0svc\0database\0main\0\0"
STARTUP = struct.pack(">I", len(STARTUP_BODY) + 4) + STARTUP_BODY


def row(value, tag="SELECT 1"):
    """The messages of one row of one binary column."""
    data = message(b"D", b"\0\1" + struct.pack(">i", len(value)) + value)
    return ROW_DESCRIPTION + data + message(b"C", tag.encode() + b"\0")


def query(text):
    return message(b"Q", text.encode() + b"\0")


def fields(text):
    """Returns the names and values in a statement's comment."""
    comment = re.search(r"/\*(.*?)\*/", text, re.S)
    pairs = comment.group(1).split(",") if comment else []
    return dict(pair.strip().split("=", 1) for pair in pairs if "=" in pair)


def key_of(text):
    quoted = re.search(r"'([^']*)'", text)
    return quoted.group(1) if quoted else ""


def error_fields(body):
    parts = [part for part in body.split(b"\0") if part]
    return {part[:1].decode(): part[1:].decode("utf-8", "replace") for part in parts}


async def read_message(reader):
    kind = await reader.readexactly(1)
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    return kind, await reader.readexactly(length - 4)


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Host:
    """A database host. `behaviour` has the coroutines `startup(host, number)`, called before a new connection is
    welcomed, and `answer(host, writer, text, received)`, which writes the answer to a statement. `answer` returns
    whether the connection stays open."""

    def __init__(self, name, group, behaviour):
        self.name = name
        self.group = group
        self.behaviour = behaviour
        self.connections = 0
        self.server = None
        self.port = None
        self.listed = {"state": "active", "started_ms": 0}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, rank=None):
        listed = {"id": self.name, "addr": f"{LOOPBACK}:{self.port}", "zone": "here", "kind": "std",
                  "cell": self.group, "weight": 1.0, **self.listed}
        return listed if rank is None else {**listed, "rank": rank}

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            (length,) = struct.unpack(">I", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            await self.behaviour.startup(self, number)
            writer.write(AUTHENTICATED + READY)
            while True:
                kind, body = await read_message(reader)
                received = time.monotonic()
                if kind != b"Q":
                    break
                text = body.rstrip(b"\0").decode("utf-8", "replace")
                if not text.strip():
                    writer.write(message(b"I") + READY)
                elif not await self.behaviour.answer(self, writer, text, received):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Discovery:
    """The agent of discovery: a watch gets the whole list at once, and an empty line every two seconds."""

    def __init__(self, entries):
        self.entries = entries
        self.port = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            listed = json.dumps({"version": 7, "full": True, "servers": self.entries()}) + "\n"
            if b"watch=1" not in request.split(b"\r\n")[0]:
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(listed)}\r\n\r\n"
                writer.write(head.encode() + listed.encode())
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(f"{len(listed):x}\r\n{listed}\r\n".encode())
                await writer.drain()
                listed = "\n"
                await asyncio.sleep(2)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Answer:
    """The answer to a query: `kind` is served, refused, failed, closed or none."""

    def __init__(self, kind, at, value=None, detail=""):
        self.kind = kind
        self.at = at
        self.value = value
        self.detail = detail


class Client:
    """One connection of a client to the router."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(STARTUP)
        while (await read_message(self.reader))[0] != b"Z":
            pass
        return self

    def send(self, text):
        self.writer.write(query(text))

    async def sent(self):
        """Waits until the router's machine has acknowledged all bytes, and returns that time."""
        raw = self.writer.get_extra_info("socket")
        while True:
            unacknowledged = struct.unpack("i", fcntl.ioctl(raw.fileno(), SIOCOUTQ, b"\0" * 4))[0]
            if self.writer.transport.get_write_buffer_size() == 0 and unacknowledged == 0:
                return time.monotonic()
            await asyncio.sleep(0.001)

    async def answer(self):
        """Waits for the answer to one query."""
        value, failure = None, None
        try:
            while True:
                kind, body = await read_message(self.reader)
                if kind == b"D":
                    value = body[6:]
                elif kind == b"E":
                    failure = error_fields(body)
                    if failure.get("S") == "FATAL":
                        return self.ended(value, failure)
                elif kind == b"I":
                    value = b""
                elif kind == b"Z":
                    return self.ended(value, failure)
        except (asyncio.IncompleteReadError, ConnectionError):
            if failure is not None:
                return self.ended(value, failure)
            return Answer("closed", time.monotonic())

    @staticmethod
    def ended(value, failure):
        if failure is None:
            return Answer("served", time.monotonic(), value)
        detail = f"{failure.get('C')} {failure.get('M')} D={failure.get('D')}"
        kind = "refused" if failure.get("C") in REFUSALS else "failed"
        return Answer(kind, time.monotonic(), None, detail)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def free_port():
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def end_with_parent():
    """Makes the system end this process with the one that started it, however that ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Router:
    """One router, started as the platform does: by the deploy file's `run`, through `/bin/sh -c` from the root."""

    def __init__(self, name, discovery_port, settings, limits, seed):
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="basalthill-review-")
        listen, discovery = f"{LOOPBACK}:{self.port}", f"{LOOPBACK}:{discovery_port}"
        config = Path(self.folder.name) / "config.json"
        config.write_text(json.dumps({
            "name": name, "listen": listen, "discovery": discovery, "seed": seed, "limits": limits,
            "known": None, "settings": settings}), encoding="utf-8")
        deploy = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
        command = re.search(r'^run\s*=\s*"(.*)"', deploy, re.M).group(1)
        scratch = Path(self.folder.name) / "tmp"
        scratch.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(scratch), "BALANCER_NAME": name,
            "BALANCER_LISTEN": listen, "BALANCER_DISCOVERY": discovery, "BALANCER_CONFIG": str(config)}
        self.log_path = Path(self.folder.name) / "log"
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            preexec_fn=end_with_parent)

    async def ready(self):
        """Waits until the router answers an empty query."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the router has ended: {self.log()[-2000:]}")
            try:
                client = await Client(self.port).connect()
                client.send("")
                answer = await asyncio.wait_for(client.answer(), 6)
                client.close()
                if answer.kind == "served":
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router is not ready within 20 s")

    def log(self):
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


def settings(classes, **changes):
    """Settings of a small deployment. `classes` are tuples of a profile, its consistency and its staleness bound in
    nanoseconds; `changes` replaces keys of the objects of the same names."""
    base = {
        "balancers": 1, "me": 0, "zone": 0, "zones": ["here"], "flavors": ["std"], "quantum": 5 * MS,
        "discovery": "automatic", "family": "replicas", "weights": "rough", "worthBy": "request", "layer": 0,
        "stages": ["db"], "overShareWorth": 0.2, "clients": {"marksRetry": False},
        "profiles": [profile for profile, _, _ in classes],
        "parties": [{"name": "demo", "fraction": 1.0, "quotaPerS": 1000.0}],
        "familyInfo": {
            "consistency": [consistency for _, consistency, _ in classes],
            "lagAllowed": [bound for _, _, bound in classes], "notes": "", "positions": True,
            "reportX0": "position in seconds after zero", "reportX1": "1 from a primary", "roleListed": "trailing",
            "tokenMode": "brought", "whenBehind": "await", "patience": 100 * MS, "commitWaits": True, "zero": 0},
        "bounds": {
            "cancel": True, "connIdle": 15 * SECOND, "connectTimeout": 250 * MS, "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 1000000, "maxAttempts": 10, "maxOpen": 20000, "maxRetryAfter": SECOND, "mayTell": False,
            "parallelTries": True, "probes": True, "retryAfter": True, "streamsPerConn": 1},
        "rules": {
            "answerSlack": 20 * MS, "askEvery": 10 * SECOND, "coldFrom": 0.19, "drainGrace": SECOND,
            "fall": 1500 * MS, "fallMultiple": 3.0, "warmWithin": 15 * SECOND},
        "reporting": {"columns": ["x0", "x1"], "via": "answers"},
        "prices": {
            "connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.05, "moves": 0.0,
            "origin": 0.0, "peer": 0.0, "probe": 0.02, "waste": 0.03},
        "scoringMix": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.2},
    }
    for name, change in changes.items():
        base[name] = {**base[name], **change} if isinstance(base.get(name), dict) else change
    return base


def profile(name, effect, aim_ms, deadline_ms, **more):
    return {"name": name, "effect": effect, "aim": aim_ms * MS, "deadline": deadline_ms * MS, "credit": 1.0,
            "lateWorth": 0.0, "keyScope": "all", "stream": False, "window": 5 * SECOND, **more}


def play(folder, case, limit_s):
    """Plays `case(record)`, which returns whether the rule held, within `limit_s`, writes the record and exits."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))

    async def bounded():
        return await asyncio.wait_for(case(record), limit_s)

    result = CANNOT_RUN
    try:
        result = HELD if asyncio.run(bounded()) else BROKEN
    except CannotRun as reason:
        record.add(f"the case could not run: {reason}")
    except (OSError, asyncio.TimeoutError) as reason:
        record.add(f"the case could not run: {type(reason).__name__} {reason}")
    words = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}
    record.add(f"result: {words[result]} ({'with' if disrupted() else 'without'} the disruption)")
    record.write()
    print(record.lines[-1][1])
    sys.exit(result)
