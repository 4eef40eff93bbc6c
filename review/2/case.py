"""Clients that send many commands at once make the router hold answers until it is over its memory limit."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *  # noqa: E402,F403

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 512}
GROUPS = 3
MEMBERS = 4
# The longest value that the pages allow; the bad clients read a key that holds one.
BIG = b"x" * 65536
SMALL = b"y" * 100
# With the sound ones fewer than a quarter of the descriptors, so that the router evicts no connection.
BAD_CLIENTS = 110
COMMANDS = 100
BAD_FOR_S = 10.0
SOUND_CLIENTS = 10
PLAY_S = 12.0
# Work of a season-report and of a map-view; the site has 380 to 650 ms and 94 to 160 ms in the mean.
REPORT_S = 0.65
READ_S = 0.1


class Sound:
    """A sound host that answers any number of requests at once."""

    def __init__(self, primary):
        self.primary = primary

    async def startup(self, host, number):
        pass

    async def answer(self, host, writer, text, received):
        state = parameter("rank", "source" if self.primary else "copy") + parameter("as_of", int(time.time() * 1000))
        if "/*" not in text:
            writer.write(row(f"x0={time.time():.3f},x1={int(self.primary)}".encode()) + READY)
            return True
        await asyncio.sleep(REPORT_S if fields(text)["c"] == "season-report" else READ_S)
        writer.write(row(BIG if key_of(text) == "big" else SMALL) + state + READY)
        return True


def read(name, key, group, kind="map-view", d_ms=1500):
    return f"SELECT v FROM records WHERE k = '{key}' /* id={name},c={kind},t=demo,d={d_ms},cluster={group} */"


async def bad_client(record, port, number, counts, until):
    """Sends many commands at once and reads whatever it is sent; comes again."""
    turn = 0
    while time.monotonic() < until:
        turn += 1
        try:
            client = await Client(port).connect()
            group = number % GROUPS + 1
            texts = [read(f"b{number}t{turn}-0", "other", group, "season-report", 6000)]
            texts += [read(f"b{number}t{turn}-{n}", "big", group) for n in range(1, COMMANDS)]
            client.writer.write(b"".join(query(text) for text in texts))
            for _ in texts:
                answer = await asyncio.wait_for(client.answer(), 10)
                counts[answer.kind] = counts.get(answer.kind, 0) + 1
                if answer.kind == "closed" or time.monotonic() >= until:
                    break
            client.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def sound_client(record, port, number, counts, until):
    """Asks five times a second for a small value. If its connection is closed between two requests, it asks once more
    on a new one, as clients do."""
    client, asked = None, 0
    while time.monotonic() < until:
        asked += 1
        name = f"s{number}-{asked}"
        for again in (False, True):
            try:
                client = client or await Client(port).connect()
                client.send(read(name, "other", asked % GROUPS + 1))
                answer = await asyncio.wait_for(client.answer(), 4)
            except (OSError, asyncio.IncompleteReadError):
                answer = Answer("closed", time.monotonic())
            if answer.kind != "closed":
                break
            client = None
            if again:
                counts["unanswered"] = counts.get("unanswered", 0) + 1
                return record.add(f"sound client {number}: request {name} ended with no answer", answer.at)
        counts[answer.kind] = counts.get(answer.kind, 0) + 1
        await asyncio.sleep(0.2)


def memory_mb(pid):
    """The memory that the process itself has filled, in MiB, without the pages of its program file."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def platform(record, router, until):
    """The platform: over its memory limit the router is killed. Returns whether that happened, and the peak."""
    peak, noted = 0.0, 0.0
    while time.monotonic() < until and router.process.poll() is None:
        now_mb = memory_mb(router.process.pid)
        peak = max(peak, now_mb)
        if time.monotonic() - noted > 0.25:
            noted = time.monotonic()
            record.add(f"the router holds {now_mb:.1f} MB")
        if now_mb > LIMITS["memory_mb"]:
            record.add(f"the router holds {now_mb:.1f} MB, over its limit of {LIMITS['memory_mb']} MB: KILLED")
            router.process.send_signal(signal.SIGKILL)
            return True, peak
        await asyncio.sleep(0.01)
    return False, peak


async def case(record):
    hosts = []
    for group in range(1, GROUPS + 1):
        for number in range(MEMBERS):
            hosts.append(Host(f"s-{group}-{number}", group, Sound(number == 0)))
            await hosts[-1].start()
    discovery = Discovery(lambda: [host.entry("source" if host.behaviour.primary else "copy") for host in hosts])
    await discovery.start()
    classes = [
        (profile("map-view", "idempotent", 500, 1500), "lag_bound", 3 * SECOND),
        (profile("season-report", "idempotent", 3000, 6000), "eventual", 0),
        (profile("log-write", "at_most_once", 400, 3000, lateWorth=0.3), "mutate", 0),
    ]
    router = Router("n1", discovery.port, settings(classes), LIMITS, "8c1f30d27a5be964")
    try:
        await router.ready()
        started = time.monotonic()
        sound, bad = {}, {}
        tasks = [asyncio.create_task(sound_client(record, router.port, n, sound, started + PLAY_S))
                 for n in range(SOUND_CLIENTS)]
        watch = asyncio.create_task(platform(record, router, started + PLAY_S))
        await asyncio.sleep(1)
        if disrupted():
            record.add(f"{BAD_CLIENTS} bad clients each send {COMMANDS} commands at once")
            tasks += [asyncio.create_task(bad_client(record, router.port, n, bad, started + BAD_FOR_S))
                      for n in range(BAD_CLIENTS)]
        killed, peak = await watch
        await asyncio.wait(tasks, timeout=1)
        for task in tasks:
            task.cancel()
        if not killed and router.process.poll() is not None:
            raise CannotRun(f"the router has ended: {router.log()[-1000:]}")
        record.add(f"answers to sound clients: {sound}; to bad clients: {bad}; peak {peak:.1f} MB")
        return not killed
    finally:
        router.stop()


play(os.path.dirname(os.path.abspath(__file__)), case, 60)
