"""Case 7: a keyed write that has run is refused, and the project's client has it run again after its group has
forgotten the key. See claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import rig  # noqa: E402

WINDOW_S = 1.2  # how long the group drops a repeat, from its first run
DEADLINE_S = 3.0
WRITES = 10
RESETS_S = 0.3  # for this long the primary's connections are reset under the writes that it has begun
RESET_AFTER_S = 0.008
PAUSE_S = 3.5  # between two writes
WORK_S = 0.005

CLASSES = [
    {"name": "map-view", "read": "lag_bound", "bound": 3, "aim": 0.5, "deadline": 1.5, "effect": "idempotent"},
    {"name": "log-write", "read": "mutate", "aim": 0.4, "deadline": DEADLINE_S, "effect": "deduplicated",
     "scope": "all", "window": WINDOW_S, "worth": 4, "late": 0.3},
]


class ResettingHost(rig.Host):
    """A database host that can reset the connection of a write that it has begun."""

    async def answer(self, text, reader, writer, number):
        self.writer = writer
        return await super().answer(text, reader, writer, number)


async def case(record, trouble):
    runs = {}  # key -> times at which the group has run it
    resets_until = [0.0]
    broken = []

    async def serve(host, statement, connection):
        is_primary = host.name == "primary"
        rank = "source" if is_primary else "copy"
        if statement.is_write and not is_primary:
            return rig.Reply(error="25006", rank=rank, as_of=rig.now_ms() - 10)
        writer = host.writer
        if statement.is_write:
            now = time.monotonic()
            key = statement.text.split("VALUES ('")[1].split("'")[0]
            known = runs.setdefault(key, [])
            if known and now - known[-1] < WINDOW_S:
                record.line(f"the group drops a repeat of {key} ({statement.id}), "
                            f"{(now - known[-1]) * 1000:.0f} ms after its run")
            else:
                record.line(f"the group runs {key} ({statement.id}), run number {len(known) + 1}")
                known.append(now)
            if now < resets_until[0]:
                await asyncio.sleep(RESET_AFTER_S)
                rig.abort(writer)
                return None
        await asyncio.sleep(WORK_S)
        as_of = rig.now_ms() + 1 if statement.is_write else rig.now_ms() - (0 if is_primary else 10)
        return rig.Reply(value=b"ok", rank=rank, as_of=as_of)

    hosts = [ResettingHost(name, 1, record, serve) for name in ("primary", "replica-1", "replica-2")]
    discovery = rig.Discovery(record)
    for host in hosts:
        is_primary = host.name == "primary"
        host.vitals = lambda is_primary=is_primary: "x0=%.6f,x1=%d" % (rig.now_ms() / 1000 - 0.01, is_primary)
        await host.start()
        discovery.add(host, rank="source" if is_primary else "copy")
    await discovery.start()
    settings = rig.settings(CLASSES, familyInfo__whenBehind="await", familyInfo__patience=rig.ns(0.1),
                            bounds__parallelTries=True, bounds__maxAttempts=10)
    router = rig.Router("n1", discovery.addr, settings, discovery.full(), record)
    program = os.path.join(rig.ROOT, "target", "release", "basalthill")

    async def write(key):
        arguments = ["query", "--router", router.listen, "--class", "log-write", "--group", "1", "--tenant", "demo",
                     "--keyed-ms", str(int(WINDOW_S * 1000)), "--within-ms", str(int(DEADLINE_S * 1000)), key, "v"]
        record.line(f"the client starts: basalthill {' '.join(arguments)}")
        process = await asyncio.create_subprocess_exec(
            program, *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)
        try:
            out, err = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        record.line(f"the client of {key} ends with {process.returncode}: {out.decode().strip()}; "
                    f"{err.decode().strip()}")
        if process.returncode not in (0, 1, 3):
            raise rig.CouldNotRun(f"the client ended with {process.returncode}")

    async def background():
        """Writes of other clients, one after another."""
        client = rig.Client(router.listen)
        number = 0
        while True:
            number += 1
            await client.ask(rig.insert(f"other-{number}", "00", f"{number:016x}", "log-write", 1000), 1.6)
            await asyncio.sleep(0.05)

    try:
        router.start()
        await router.ready()
        others = asyncio.ensure_future(background())
        await asyncio.sleep(1)
        writes = []
        for number in range(WRITES):
            if trouble:
                resets_until[0] = time.monotonic() + RESETS_S
            writes.append(asyncio.ensure_future(write(f"key-{number}")))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*writes)
        others.cancel()
        if router.has_crashed():
            broken.append("crash: the router has ended")
        own = {key: times for key, times in runs.items() if key.startswith("key-")}
        if not own:
            raise rig.CouldNotRun("no write reached the group")
        for key, times in own.items():
            if len(times) > 1:
                broken.append(f"run twice: {key}, the second time {(times[1] - times[0]) * 1000:.0f} ms after the "
                              f"first (the group remembers it for {WINDOW_S * 1000:.0f} ms)")
        print(f"{len(own)} writes")
        return broken
    finally:
        router.end()


rig.main(case, FOLDER)
