"""Stand-ins for the cases 6 to 10: database hosts, discovery, clients, and the start of routers.

Everything runs in one Python process on loopback addresses and the real clock; only the routers are separate
processes, started with the command `run` of deploy/balancer.toml. Only Python's standard library is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_SECOND = 1_000_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

CASE_LIMIT_S = 110.0

TASKS = set()  # asyncio itself keeps only weak references to tasks


def now_ms():
    """Returns the Unix time in milliseconds, the clock that all machines read."""
    return time.time() * 1000.0


class CouldNotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def close(self):
        self.file.close()


# --- messages of PostgreSQL's protocol, version 3 ---


def message(kind, body=b""):
    return kind + struct.pack("!I", len(body) + 4) + body


READY = message(b"Z", b"I")
ROW_DESCRIPTION = message(
    b"T", struct.pack("!H", 1) + b"v\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
)


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def error_message(code, text, severity="ERROR"):
    fields = b"S" + severity.encode() + b"\0V" + severity.encode() + b"\0C" + code.encode() + b"\0M"
    return message(b"E", fields + text.encode() + b"\0\0")


def row_message(value):
    return message(b"D", struct.pack("!HI", 1, len(value)) + value)


def startup_message():
    body = struct.pack("!I", 196608) + b"user\0svc\0database\0main\0\0"
    return struct.pack("!I", len(body) + 4) + body


def query_message(text):
    return message(b"Q", text.encode() + b"\0")


def error_code(body):
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return ""


FIELD = re.compile(r"/\*(.*?)\*/", re.S)


class Statement:
    """A statement as a database host reads it."""

    def __init__(self, text):
        self.text = text
        self.is_write = text.lstrip()[:6].lower() == "insert"
        comment = FIELD.search(text)
        pairs = comment.group(1).split(",") if comment else []
        self.fields = dict(pair.strip().split("=", 1) for pair in pairs if "=" in pair)
        self.id = self.fields.get("id", "")
        self.name = self.fields.get("c", "")


def select(key, request_id, name, deadline_ms, group=1, tenant="demo", after=None):
    extra = "" if after is None else f",after={int(after)}"
    return (
        f"SELECT v FROM records WHERE k = '{key}' "
        f"/* id={request_id},c={name},t={tenant},d={int(deadline_ms)},cluster={group}{extra} */"
    )


def insert(key, value_hex, request_id, name, deadline_ms, group=1, tenant="demo"):
    return (
        f"INSERT INTO records (k, v) VALUES ('{key}', '\\x{value_hex}') RETURNING v "
        f"/* id={request_id},c={name},t={tenant},d={int(deadline_ms)},cluster={group} */"
    )


# --- database hosts ---


class Reply:
    """What a database host answers to a statement."""

    def __init__(self, value=None, error=None, rank=None, as_of=None, extra=b"", close=False):
        self.value = value
        self.error = error
        self.rank = rank
        self.as_of = as_of
        self.extra = extra
        self.close = close

    def encode(self):
        if self.error is not None:
            out = error_message(self.error, "stand-in")
        else:
            verb = b"SELECT 1\0"
            out = ROW_DESCRIPTION + row_message(self.value) + message(b"C", verb)
        if self.rank is not None:
            out += parameter("rank", self.rank)
        if self.as_of is not None:
            out += parameter("as_of", int(self.as_of))
        return out + READY + self.extra


class Host:
    """A database host. `serve(host, statement, connection)` is a coroutine that returns a Reply, or None for no
    answer. Subclasses or callers may set:

    - connect_delay(): seconds that a new connection takes to come up;
    - vitals(): the text of a load report, or None where probes get a plain row;
    - idle_close_s: seconds after which an idle connection is closed; None for never.
    """

    def __init__(self, name, group, record, serve):
        self.name = name
        self.group = group
        self.record = record
        self.serve = serve
        self.connect_delay = lambda: 0.0
        self.vitals = lambda: None
        self.idle_close_s = None
        self.connections = set()
        self.accepted = 0
        self.server = None
        self.addr = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port, backlog=512)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """The process dies: its connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.connections):
            abort(writer)

    async def accept(self, reader, writer):
        self.connections.add(writer)
        self.accepted += 1
        number = self.accepted
        try:
            await self.converse(reader, writer, number)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def converse(self, reader, writer, number):
        (length,) = struct.unpack("!I", await reader.readexactly(4))
        await reader.readexactly(length - 4)
        delay = self.connect_delay()
        if delay > 0:
            await asyncio.sleep(delay)
        writer.write(message(b"R", struct.pack("!I", 0)) + READY)
        while True:
            try:
                kind = await asyncio.wait_for(reader.readexactly(1), self.idle_close_s)
            except asyncio.TimeoutError:
                return
            (length,) = struct.unpack("!I", await reader.readexactly(4))
            body = await reader.readexactly(length - 4)
            if kind == b"X":
                return
            if kind != b"Q":
                writer.write(error_message("08P01", "stand-in") + READY)
                continue
            text = body[:-1].decode()
            if not await self.answer(text, reader, writer, number):
                return

    async def answer(self, text, reader, writer, number):
        """Answers one query. Returns whether the connection stays open."""
        word = text.strip().rstrip(";").lower()
        if word == "":
            writer.write(message(b"I") + READY)
        elif word in ("select 1", "show vitals"):
            report = self.vitals()
            if word == "show vitals" and report is None:
                writer.write(error_message("42501", "stand-in") + READY)
            else:
                value = (report or "1").encode()
                writer.write(ROW_DESCRIPTION + row_message(value) + message(b"C", b"SELECT 1\0") + READY)
        else:
            reply = await self.serve(self, Statement(text), number)
            if reply is None:
                await reader.read()
                return False
            writer.write(reply.encode())
            if reply.close:
                await writer.drain()
                return False
        await writer.drain()
        return True


def abort(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# --- discovery ---


class Discovery:
    """The agent of discovery: serves the whole list and watches of its changes."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.entries = {}
        self.changes = []
        self.watchers = set()
        self.server = None
        self.addr = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, host, state="active", started_ms=0, rank=None, kind="std", zone="a", weight=1.0):
        entry = {
            "id": host.name, "addr": host.addr, "zone": zone, "kind": kind, "cell": host.group,
            "state": state, "weight": weight, "started_ms": int(started_ms),
        }
        if rank is not None:
            entry["rank"] = rank
        self.put(entry)

    def put(self, entry):
        self.version += 1
        if entry["state"] == "left":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = dict(entry)
        self.changes.append((self.version, dict(entry)))
        line = {"version": self.version, "full": False, "servers": [entry]}
        for queue in list(self.watchers):
            queue.put_nowait(line)

    def full(self):
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def since(self, version):
        changed = [entry for number, entry in self.changes if number > version]
        return {"version": self.version, "full": False, "servers": changed}

    async def accept(self, reader, writer):
        queue = asyncio.Queue()
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            if "watch=1" not in target:
                body = json.dumps(self.full()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            origin = re.search(r"from=(\d+)", target)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watchers.add(queue)
            if origin is None or int(origin.group(1)) > self.version:
                self.chunk(writer, self.full())
            elif int(origin.group(1)) < self.version:
                self.chunk(writer, self.since(int(origin.group(1))))
            while True:
                try:
                    self.chunk(writer, await asyncio.wait_for(queue.get(), 2.0))
                except asyncio.TimeoutError:
                    self.chunk(writer, None)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.watchers.discard(queue)
            writer.close()

    @staticmethod
    def chunk(writer, line):
        data = (b"" if line is None else json.dumps(line).encode()) + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


# --- clients ---


class Answer:
    """How a request ended, as its client sees it."""

    def __init__(self, kind, code="", value=None, at=0.0):
        self.kind = kind  # served, refused, failed or closed
        self.code = code
        self.value = value
        self.at = at


class ClientConnection:
    """One connection of a client. Commands may be pipelined; answers come in their order."""

    def __init__(self, addr):
        self.host, port = addr.rsplit(":", 1)
        self.port = int(port)
        self.reader = None
        self.writer = None
        self.waiting = []
        self.task = None
        self.closed = False

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        self.writer.write(startup_message())
        self.task = asyncio.ensure_future(self.read())
        TASKS.add(self.task)
        self.task.add_done_callback(TASKS.discard)

    def send(self, text):
        """Sends a query; returns a future of its Answer."""
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        if self.closed:
            self.finish_all()
        else:
            self.writer.write(query_message(text))
        return future

    async def read(self):
        started = False
        value, code = None, None
        try:
            while True:
                kind = await self.reader.readexactly(1)
                (length,) = struct.unpack("!I", await self.reader.readexactly(4))
                body = await self.reader.readexactly(length - 4)
                if kind == b"D":
                    (size,) = struct.unpack("!i", body[2:6])
                    value = body[6:] if size >= 0 else None
                elif kind == b"I":
                    value = b""
                elif kind == b"E":
                    code = error_code(body)
                elif kind == b"Z":
                    if not started:
                        started = True
                    elif self.waiting:
                        self.finish(value, code)
                    value, code = None, None
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        if code is not None and self.waiting:
            self.finish(value, code)
        self.closed = True
        self.finish_all()
        self.writer.close()

    def finish(self, value, code):
        future = self.waiting.pop(0)
        if code is None:
            answer = Answer("served", value=value, at=time.monotonic())
        elif code in ("53300", "57P03"):
            answer = Answer("refused", code, at=time.monotonic())
        else:
            answer = Answer("failed", code, at=time.monotonic())
        if not future.done():
            future.set_result(answer)

    def finish_all(self):
        for future in self.waiting:
            if not future.done():
                future.set_result(Answer("closed", at=time.monotonic()))
        self.waiting = []

    def close(self):
        self.closed = True
        if self.writer is not None:
            self.writer.close()


class Client:
    """A client that keeps its connections and opens more when all are busy."""

    def __init__(self, addr):
        self.addr = addr
        self.idle = []

    async def ask(self, text, timeout_s):
        connection = None
        while self.idle and connection is None:
            connection = self.idle.pop()
            if connection.closed:
                connection = None
        if connection is None:
            connection = ClientConnection(self.addr)
            await connection.open()
        future = connection.send(text)
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except asyncio.TimeoutError:
            connection.close()
            return Answer("unanswered", at=time.monotonic())
        if not connection.closed:
            self.idle.append(connection)
        return answer

    def close(self):
        for connection in self.idle:
            connection.close()


# --- routers ---


def run_command():
    """Returns the command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            found = re.match(r'run\s*=\s*"(.*)"\s*$', line)
            if found:
                return found.group(1)
    raise CouldNotRun("deploy/balancer.toml names no command run")


def free_addr():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def ns(seconds):
    return int(seconds * SETTINGS_SECOND)


def settings(classes, **changes):
    """Returns the settings of a small deployment. `classes` are dictionaries with name, read (lag_bound, causal,
    strong, eventual or mutate), aim and deadline in seconds, effect, and optionally bound and window in seconds, scope,
    worth and late."""
    result = {
        "balancers": 1, "me": 0, "zone": 0, "zones": ["a"], "quantum": 5_000_000, "discovery": "automatic",
        "weights": "none", "overShareWorth": 0.2, "flavors": ["std"], "stages": ["db"], "layer": 0,
        "profiles": [
            {
                "name": c["name"], "aim": ns(c["aim"]), "deadline": ns(c["deadline"]), "effect": c["effect"],
                "keyScope": c.get("scope", "cell"), "window": ns(c.get("window", 5)), "stream": False,
                "credit": c.get("worth", 1.0), "lateWorth": c.get("late", 0.0),
            }
            for c in classes
        ],
        "parties": [{"name": "demo", "fraction": 1.0, "quotaPerS": 1000.0}],
        "familyInfo": {
            "consistency": [c["read"] for c in classes],
            "lagAllowed": [ns(c.get("bound", 0)) for c in classes],
            "positions": True, "roleListed": "trailing", "tokenMode": "brought", "whenBehind": "none",
            "patience": 0, "zero": 0, "commitWaits": True,
        },
        "bounds": {
            "cancel": True, "maxAttempts": 6, "parallelTries": False, "probes": True, "retryAfter": True,
            "maxRetryAfter": ns(1), "connIdle": ns(15), "connectTimeout": ns(0.25),
        },
        "rules": {
            "coldFrom": 0.2, "drainGrace": ns(0.5), "fall": ns(1.5), "fallMultiple": 2.0, "warmWithin": ns(15),
        },
        "reporting": {"columns": ["x0", "x1"], "via": "answers"},
        "prices": {"waste": 0.03, "probe": 0.02, "crossZone": 0.0},
    }
    for path, value in changes.items():
        part, _, key = path.partition("__")
        if key:
            result[part][key] = value
        else:
            result[part] = value
    return result


class Router:
    """One router process."""

    def __init__(self, name, discovery, config_settings, known, record, memory_mb=192, sockets=1024):
        self.name = name
        self.discovery = discovery
        self.listen = free_addr()
        self.folder = tempfile.mkdtemp(prefix="basalthill-review-")
        self.config_path = os.path.join(self.folder, "config.json")
        self.settings = config_settings
        self.known = known
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.record = record
        self.process = None
        self.log = None

    def write_config(self):
        config = {
            "name": self.name, "listen": self.listen, "discovery": self.discovery,
            "seed": "%016x" % random.getrandbits(64), "limits": self.limits, "known": self.known,
            "settings": self.settings,
        }
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(temporary, self.config_path)

    def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "release", "basalthill")):
            raise CouldNotRun("target/release/basalthill has not been built")
        self.write_config()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment.update(
            TMPDIR=self.folder, BALANCER_NAME=self.name, BALANCER_LISTEN=self.listen,
            BALANCER_DISCOVERY=self.discovery, BALANCER_CONFIG=self.config_path,
        )
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )
        self.record.line(f"router {self.name} started, process {self.process.pid}, at {self.listen}")

    async def ready(self, limit_s=30.0):
        """Waits until the router answers an empty query, as the front does."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CouldNotRun(f"router {self.name} ended with {self.process.returncode}")
            connection = ClientConnection(self.listen)
            try:
                await connection.open()
                answer = await asyncio.wait_for(connection.send(""), 2.0)
                if answer.kind == "served":
                    connection.close()
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            connection.close()
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"router {self.name} is not ready after {limit_s} s")

    def signal(self, number):
        self.process.send_signal(number)

    def has_crashed(self):
        return self.process.poll() is not None

    def peak_memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024.0
        return 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs `case(record, trouble)`, a coroutine function that returns a list of broken rules, and exits with 1 if
    there are any, 0 if there are none, and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), CASE_LIMIT_S))
        for text in broken:
            record.line("BROKEN " + text)
        verdict = BROKEN if broken else HELD
        print(f"TROUBLE={int(trouble)}: {len(broken)} breaks" + "".join("\n  " + text for text in broken[:10]))
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        verdict = COULD_NOT_RUN
    record.close()
    sys.exit(verdict)
