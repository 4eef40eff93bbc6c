"""Case 9: the simulator's adapter forgets a write whose client has left; a later read of the session is stale. See
claim.txt."""

import asyncio
import json
import os
import struct
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import rig  # noqa: E402

ROUTERS = 20  # instances; each has one session with one write and one read
PRIMARY, REPLICAS = 11, (12, 13, 14, 15)
NAMES = {PRIMARY: "primary", 12: "replica-1", 13: "replica-2", 14: "replica-3", 15: "replica-4"}
ZERO_NS = 432_806_884_414_000
BUSY, SLOWER = 0.58, 15  # the replicas apply the log 15 times more slowly, from the start on
SHIP_S = 0.01
WRITE_AT_S, LEAVE_AFTER_S, COMMIT_AFTER_S, READ_AFTER_S = 2.0, 0.03, 0.06, 0.3
END_S = 11.0
STEP_S = 0.005
OK = 100

CLASSES = [
    {"name": "calendar-view", "read": "lag_bound", "bound": 3, "aim": 0.3, "deadline": 0.75,
     "effect": "idempotent", "late": 0.2},
    {"name": "own-reply", "read": "causal", "aim": 0.5, "deadline": 1.2, "effect": "idempotent", "worth": 2},
    {"name": "plan-write", "read": "mutate", "aim": 0.6, "deadline": 2, "effect": "deduplicated",
     "scope": "cell", "window": 2, "worth": 3, "late": 0.5},
]
OWN_REPLY, PLAN_WRITE = 1, 2


def sim_command():
    """Returns the command `sim` of the deploy file."""
    with open(os.path.join(rig.ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("sim"):
                return line.split('"')[1]
    raise rig.CouldNotRun("deploy/balancer.toml names no command sim")


def record_of(code, layout, *values):
    return (bytes([code]) + struct.pack("!" + layout, *values)).ljust(56, b"\0")


class Adapter:
    """The adapter as a process. A batch is one frame of events; its reply is one frame of actions."""

    def __init__(self):
        if not os.path.exists(os.path.join(rig.ROOT, "target", "release", "basalthill-sim")):
            raise rig.CouldNotRun("target/release/basalthill-sim has not been built")
        self.process = subprocess.Popen(["/bin/sh", "-c", sim_command()], cwd=rig.ROOT, stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)

    def batch(self, clock_ns, events, tail=b""):
        size = 16 + 56 * len(events) + len(tail)
        frame = struct.pack("!IQI", size, clock_ns, len(events)) + b"".join(events) + tail
        self.process.stdin.write(frame)
        self.process.stdin.flush()
        count, size = struct.unpack("!II", self.process.stdout.read(8))
        reply = self.process.stdout.read(size - 8)
        return [reply[32 * index:32 * index + 32] for index in range(count)]

    def end(self):
        self.process.kill()
        self.process.wait()


class Replication:
    """Positions in nanoseconds of the adapter's clock. The primary stands at the present."""

    def __init__(self, start_ns):
        self.start_ns = start_ns

    def position_ns(self, host, clock_ns):
        if host == PRIMARY:
            return clock_ns
        applied = (clock_ns - self.start_ns) / (BUSY * SLOWER)
        return int(self.start_ns - SHIP_S * 1e9 + applied)

    def note(self, host, position_ns):
        """The field `stand`: four times the position in milliseconds after the zero, plus the role."""
        return 4 * int((position_ns - ZERO_NS) // 1_000_000) + (1 if host == PRIMARY else 2)


async def case(record, trouble):
    broken = []
    settings = rig.settings(
        CLASSES, balancers=ROUTERS, familyInfo__zero=ZERO_NS, familyInfo__tokenMode="kept",
        familyInfo__roleListed="static", reporting__via="probe", bounds__parallelTries=True)
    settings["familyInfo"]["reportX0"] = "position in seconds after zero"
    text = json.dumps(settings).encode()
    rows = b"".join(
        struct.pack("!fIHBHBfQ", 1.0 if host == PRIMARY else 0.0, host, 0, 0, 1, 1, 1.0, 0) for host in NAMES)
    adapter = Adapter()
    begun = time.monotonic()
    start_ns = ZERO_NS + 600_000_000_000  # the group has run for ten minutes
    replication = Replication(start_ns)

    def clock():
        return start_ns + int((time.monotonic() - begun) * 1e9)

    due = []  # events that are to come: time, instance, function that makes the record
    commits = {}  # instance: commit of its session's write, once the instance has its outcome
    attempts = {}  # request: number of attempts
    reads = 0

    def schedule(at_ns, make):
        due.append((at_ns, make))

    def handle(action, now):
        nonlocal reads
        code, router = action[0], struct.unpack("!I", action[1:5])[0]
        if code == 6:  # CHECK
            (host,) = struct.unpack("!I", action[5:9])
            at = now + 2_000_000
            schedule(at, lambda: record_of(
                8, "IIHQBffff", router, host, OK, 2_000_000, 2,
                (replication.position_ns(host, at) - ZERO_NS) / 1e9 - 0.05, float(host == PRIMARY), 0.0, 0.0))
        elif code == 5:  # TIMER
            span, token = struct.unpack("!QQ", action[5:21])
            schedule(now + span, lambda: record_of(7, "IQ", router, token))
        elif code == 1:  # TRANSMIT
            request, host = struct.unpack("!QI", action[5:17])
            hop = attempts.get(request, 0)
            attempts[request] = hop + 1
            is_write = request % 2 == 0
            work = int(COMMIT_AFTER_S * 1e9)
            at = now + work
            position = replication.position_ns(host, at)
            record.line(f"instance {router} sends {request} ({'write' if is_write else 'read'}) to {NAMES[host]}")
            if is_write and host != PRIMARY:
                schedule(now + 2_000_000, lambda: outcome(router, request, hop, host, 101, 2_000_000, False, position))
                return
            if not is_write:
                reads += 1
                needed = commits.get(router)
                if host != PRIMARY and needed is not None and position < needed:
                    broken.append(
                        f"stale: instance {router} sent read {request} to {NAMES[host]}, which answers it from "
                        f"position {(position - start_ns) / 1e9:.3f} s; the instance has had the outcome ok of its "
                        f"session's write, commit {(needed - start_ns) / 1e9:.3f} s")
            schedule(at, lambda: outcome(router, request, hop, host, OK, work, True, position))

    def outcome(router, request, hop, host, status, took, ended, position):
        if request % 2 == 0 and status == OK:
            # The commit, rounded up to a millisecond.
            position = -(-position // 1_000_000) * 1_000_000
            told[router] = position
        record.line(f"instance {router} is told {status} for {request} at {NAMES[host]}, "
                    f"position {(position - start_ns) / 1e9:.3f} s")
        return record_of(5, "IQHIHQBIBffff", router, request, hop, host, status, took, int(ended),
                         replication.note(host, position), 0, 0.0, 0.0, 0.0, 0.0)

    told = {}  # as commits, but of the present batch
    try:
        now = clock()
        events, tail = [record_of(11, "BII", 0, 0, len(NAMES))], rows
        for router in range(ROUTERS):
            events.append(record_of(1, "IQII", router, 1000 + router, len(rows), len(text)))
            events.append(record_of(2, "IBIB", router, 2, 41, 0))
        for action in adapter.batch(now, events, tail + text):
            handle(action, now)
        for router in range(ROUTERS):
            session, write, read = 77 + router, 1000 + 2 * router, 1001 + 2 * router
            at = start_ns + int(WRITE_AT_S * 1e9) + router * 50_000_000

            def job(number, kind, at=at, router=router, session=session, wait_s=0.0):
                sent = at + int(wait_s * 1e9)
                deadline = sent + rig.ns(CLASSES[kind]["deadline"])
                mark = 4 if kind == PLAN_WRITE else 0
                schedule(sent, lambda: record_of(3, "IQHHQQQffB", router, number, kind, 0, session, deadline, 0, 1.0,
                                                 0.0, mark))

            job(write, PLAN_WRITE)
            if trouble:
                schedule(at + int(LEAVE_AFTER_S * 1e9), lambda router=router, write=write: (
                    record.line(f"the client of write {write} at instance {router} leaves")
                    or record_of(6, "IQ", router, write)))
            job(read, OWN_REPLY, wait_s=READ_AFTER_S)
        while time.monotonic() - begun < END_S:
            await asyncio.sleep(STEP_S)
            now = clock()
            ready = sorted((entry for entry in due if entry[0] <= now), key=lambda entry: entry[0])
            due[:] = [entry for entry in due if entry[0] > now]
            commits.update(told)
            told.clear()
            for action in adapter.batch(now, [make() for _, make in ready]):
                handle(action, now)
        if adapter.process.poll() is not None:
            broken.append("crash: the adapter has ended")
        record.line(f"{reads} reads sent, {len(broken)} breaks")
        print(f"{reads} reads sent")
        if reads < ROUTERS:
            raise rig.CouldNotRun(f"only {reads} reads were sent")
        return broken
    finally:
        adapter.end()


rig.main(case, FOLDER)
