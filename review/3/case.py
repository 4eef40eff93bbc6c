"""A bounded read waits for a late connection and is then written to a replica that is by now too far behind."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *  # noqa: E402,F403

BOUND_MS = 3000
# Every time limit is longer by 50 ms on sockets.
SLACK_MS = 50
GROUPS = 3
REPLICAS = 4
WORK_S = 0.06
# In each group.
READ_EVERY_S = 0.025
# Of the hosts' connections, every third comes up this late; the pages have up to 1.5 s.
LATE_EVERY = 3
LATE_S = 0.22
# Idle connections are closed early.
IDLE_S = 0.03
EPISODES = 4
LAG_S = 10.0
CATCH_UP_S = 4.0
# A replica whose thread is busy 45 % of the time and applies the log 15 times more slowly keeps up with
# 1 / (0.45 * 15) = 15 % of it.
APPLY_RATE = 0.15
SHIPPED_AFTER_S = 0.01
D_MS = 750


class Log:
    """How far the replicas have applied the log: up to the present, but for the episodes in which they lag."""

    def __init__(self):
        self.lags_since = None

    def position(self):
        now = time.time()
        if self.lags_since is None:
            return now - SHIPPED_AFTER_S
        return self.lags_since - SHIPPED_AFTER_S + (now - self.lags_since) * APPLY_RATE


class Member:
    """A sound host that answers a read from what it has, however old."""

    def __init__(self, record, log, primary, judged):
        self.record = record
        self.log = log
        self.primary = primary
        self.judged = judged
        self.idle = {}

    async def startup(self, host, number):
        if disrupted() and number % LATE_EVERY == 0:
            await asyncio.sleep(LATE_S)

    def position(self):
        return time.time() if self.primary else self.log.position()

    async def answer(self, host, writer, text, received):
        received_unix = time.time() - (time.monotonic() - received)
        timer = self.idle.pop(writer, None)
        if timer is not None:
            timer.cancel()
        role = parameter("rank", "source" if self.primary else "copy")
        if "/*" not in text:
            writer.write(row(f"x0={self.position():.6f},x1={int(self.primary)}".encode()) + READY)
        else:
            await asyncio.sleep(WORK_S)
            position = self.position()
            as_of = parameter("as_of", int(position * 1000))
            if text.startswith("INSERT") and not self.primary:
                writer.write(error("25006", "no primary") + role + as_of + READY)
            else:
                request = fields(text)["id"]
                age_ms = (received_unix - position) * 1000
                self.judged[request] = (host.name, age_ms, self.primary)
                writer.write(row(request.encode()) + role + as_of + READY)
        if disrupted():
            self.idle[writer] = asyncio.get_running_loop().call_later(IDLE_S, writer.close)
        return True


async def read(record, port, pool, number, group, judged, stale):
    client = pool.pop() if pool else await Client(port).connect()
    name = f"r{number}"
    client.send(f"SELECT v FROM records WHERE k = 'k{number % 50}' "
                f"/* id={name},c=calendar-view,t=demo,d={D_MS},cluster={group} */")
    try:
        answer = await asyncio.wait_for(client.answer(), 2)
    except asyncio.TimeoutError:
        client.close()
        return record.add(f"{name}: no answer")
    pool.append(client)
    host, age_ms, _ = judged.get(name, ("no host", 0.0, True))
    line = f"{name}: {answer.kind} {answer.detail}"
    if answer.kind == "served":
        line += f" by {host} from data {age_ms:.0f} ms old at the last byte of the send"
        if age_ms > BOUND_MS + SLACK_MS:
            stale.append(name)
            line += f", more than {BOUND_MS} + {SLACK_MS} ms: STALE"
    record.add(line, answer.at)


async def case(record):
    log, judged, stale = Log(), {}, []
    hosts = []
    for group in range(1, GROUPS + 1):
        for number in range(REPLICAS + 1):
            name = f"s-{group}-" + (f"replica{number}" if number else "primary")
            hosts.append(Host(name, group, Member(record, log, number == 0, judged)))
            await hosts[-1].start()
    discovery = Discovery(lambda: [host.entry("source" if host.behaviour.primary else "copy") for host in hosts])
    await discovery.start()
    classes = [
        (profile("calendar-view", "idempotent", 300, 750, lateWorth=0.2), "lag_bound", BOUND_MS * MS),
        (profile("plan-write", "deduplicated", 600, 2000, lateWorth=0.5, keyScope="cell", window=2 * SECOND),
         "mutate", 0),
    ]
    family = {"whenBehind": "none", "patience": 0, "roleListed": "static", "tokenMode": "kept"}
    router = Router("n1", discovery.port, settings(
        classes, familyInfo={**settings(classes)["familyInfo"], **family}, weights="none",
        reporting={"columns": ["x0", "x1"], "via": "probe"}), {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "8c1f30d27a5be964")
    try:
        await router.ready()
        pool, number, reads = [], 0, []

        async def reads_for(seconds):
            nonlocal number
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                number += 1
                group = number % GROUPS + 1
                reads.append(asyncio.create_task(read(record, router.port, pool, number, group, judged, stale)))
                await asyncio.sleep(READ_EVERY_S / GROUPS)

        await reads_for(2.0)
        for _ in range(EPISODES):
            record.add("the replicas begin to apply the log more slowly")
            log.lags_since = time.time()
            await reads_for(LAG_S)
            record.add("the replicas have caught up")
            log.lags_since = None
            await reads_for(CATCH_UP_S)
        await asyncio.gather(*reads)
        record.add(f"{len(stale)} of {len(reads)} reads were answered from data that was too old")
        if router.process.poll() is not None:
            raise CannotRun("the router has ended")
        return not stale
    finally:
        router.stop()


play(os.path.dirname(os.path.abspath(__file__)), case, 100)
