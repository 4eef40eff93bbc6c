"""A keyed write that has run is refused; the project's client comes again when its group has forgotten it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *  # noqa: E402,F403

# The days of the panel `brink` may give a class another effect and a shorter window for repeats.
WINDOW_MS = 1200
WITHIN_MS = 3000
WRITES = 10
# For this long the primary's connections are reset under the writes that it has begun.
RESETS_S = 0.3
RESET_AFTER_S = 0.008
PERIOD_S = 3.5


class Group:
    """A sound group: it runs a write at its primary and drops a repeat of its key for the window."""

    def __init__(self, record):
        self.record = record
        self.ran = {}
        self.resets_until = 0.0

    def run(self, key, request, received):
        runs = self.ran.setdefault(key, [])
        if runs and received - runs[-1] < WINDOW_MS / 1000:
            self.record.add(f"the group drops a repeat of {key} ({request}) after "
                            f"{(received - runs[-1]) * 1000:.0f} ms", received)
            return
        runs.append(received)
        after = f", {(received - runs[0]) * 1000:.0f} ms after its first run: RUN TWICE" if len(runs) > 1 else ""
        self.record.add(f"the group runs {key} ({request}){after}", received)


class Member:
    """A sound host. While the trouble lasts, its connections are reset under the writes that it has run."""

    def __init__(self, group, primary):
        self.group = group
        self.primary = primary

    async def startup(self, host, number):
        pass

    async def answer(self, host, writer, text, received):
        state = parameter("rank", "source" if self.primary else "copy") + parameter("as_of", int(time.time() * 1000))
        if "/*" not in text:
            writer.write(row(f"x0={time.time():.6f},x1={int(self.primary)}".encode()) + READY)
            return True
        if text.startswith("INSERT"):
            if not self.primary:
                writer.write(error("25006", "no primary") + state + READY)
                return True
            self.group.run(key_of(text), fields(text)["id"], received)
            if received < self.group.resets_until:
                await asyncio.sleep(RESET_AFTER_S)
                reset(writer)
                return False
        await asyncio.sleep(0.005)
        writer.write(row(b"ok") + state + READY)
        return True


async def case(record):
    group = Group(record)
    hosts = [Host("s-primary", 1, Member(group, True)), Host("s-replica", 1, Member(group, False))]
    for host in hosts:
        await host.start()
    discovery = Discovery(lambda: [hosts[0].entry("source"), hosts[1].entry("copy")])
    await discovery.start()
    classes = [
        (profile("map-view", "idempotent", 500, 1500), "lag_bound", 3 * SECOND),
        (profile("log-write", "deduplicated", 400, 3000, lateWorth=0.3, keyScope="all", window=WINDOW_MS * MS),
         "mutate", 0),
    ]
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    router = Router("n1", discovery.port, settings(classes), limits, "8c1f30d27a5be964")

    async def load():
        """Other clients' writes, one after another."""
        client = await Client(router.port).connect()
        number = 0
        while True:
            number += 1
            client.send(f"INSERT INTO records (k, v) VALUES ('other{number}', '\\x00') RETURNING v "
                        f"/* id=o{number},c=log-write,t=demo,d=1000,cluster=1 */")
            await client.answer()
            await asyncio.sleep(0.05)

    async def write(number):
        key = f"key{number}"
        arguments = ["--router", f"{LOOPBACK}:{router.port}", "--class", "log-write", "--group", "1", "--tenant",
                     "demo", "--keyed-ms", str(WINDOW_MS), "--within-ms", str(WITHIN_MS), key, "value"]
        record.add(f"basalthill query {' '.join(arguments)}")
        process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/release/basalthill"), "query", *arguments, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE)
        out, err = await process.communicate()
        record.add(f"client of {key}: {out.decode().strip()} (exit code {process.returncode}); {err.decode().strip()}")

    try:
        await router.ready()
        background = asyncio.create_task(load())
        await asyncio.sleep(1)
        writes = []
        for number in range(WRITES):
            if disrupted():
                group.resets_until = time.monotonic() + RESETS_S
            writes.append(asyncio.create_task(write(number)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*writes)
        background.cancel()
        if router.process.poll() is not None:
            raise CannotRun("the router has ended")
        twice = [key for key, runs in group.ran.items() if len(runs) > 1]
        record.add(f"{len(twice)} of {len(group.ran)} writes ran twice")
        return not twice
    finally:
        router.stop()


play(os.path.dirname(os.path.abspath(__file__)), case, 100)
