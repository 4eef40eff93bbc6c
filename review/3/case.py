"""Clients that stop in the middle of a large request keep the router from reading the large requests of others."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standin import *  # noqa: E402,F403

# The smallest memory and descriptors that the pages name for a router.
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}
# Fewer than a quarter of the descriptors with the other clients, so that the router evicts no connection.
BAD_CLIENTS = 40
# What a bad client sends of its command before it stops: the command's header and this many bytes.
BAD_SENT = 20_000
BAD_FOR_S = 6.0
# A value of 16 KiB, of the 64 KiB that the pages allow, is 32 KiB of hexadecimal digits.
VALUE_LEN = 16 * 1024
LARGE_WRITES = 5
# Half of the class's deadline of 2 s; the pages have 40 to 100 % of it.
D_MS = 1000
# A final answer is owed half a second after the request's time at the latest; 50 ms more on sockets.
OWED_MS = D_MS + 500 + 50


class Sound:
    """A sound host: it serves each statement 20 ms after its last byte."""

    def __init__(self, record, primary):
        self.record = record
        self.primary = primary

    async def startup(self, host, number):
        pass

    async def answer(self, host, writer, text, received):
        now_ms = int(time.time() * 1000)
        state = parameter("rank", "source" if self.primary else "copy") + parameter("as_of", now_ms)
        if text.startswith("S") and "/*" not in text:
            writer.write(row(f"x0={time.time():.3f},x1={int(self.primary)}".encode()) + READY)
            return True
        if text.startswith("INSERT") and not self.primary:
            writer.write(error("25006", "no primary") + state + READY)
            return True
        self.record.add(f"host {host.name} begins {fields(text)['id']} ({len(text)} bytes)", received)
        await asyncio.sleep(0.02)
        writer.write(row(b"ok " + fields(text)["id"].encode()) + state + READY)
        return True


async def bad_client(record, port, number, until):
    """Asks once, then sends the first part of a large command and stops; comes again once the router has closed."""
    text = f"INSERT INTO records (k, v) VALUES ('bad{number}', '\\x" + "00" * (2 * VALUE_LEN) + "') RETURNING v"
    while time.monotonic() < until:
        try:
            client = await Client(port).connect()
            client.send(f"SELECT v FROM records WHERE k = 'b{number}' "
                        f"/* id=b{number}-{time.monotonic_ns():x},c=trip-view,t=demo,d={D_MS},cluster=1 */")
            await asyncio.wait_for(client.answer(), 3)
            client.writer.write(query(text)[:BAD_SENT])
            started = time.monotonic()
            answer = await asyncio.wait_for(client.answer(), max(until - time.monotonic(), 0.01))
            record.add(f"bad client {number}: {answer.kind} {answer.detail} after {time.monotonic() - started:.2f} s")
            client.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def request(record, port, name, text, connected):
    """Sends one request on a connection of its own. Returns whether it got its final answer in time."""
    client = connected or await Client(port).connect()
    client.send(text)
    written = await asyncio.wait_for(client.sent(), 5)
    record.add(f"client sent {name}: d={D_MS} ms, {len(text)} bytes, all of them on the router's machine", written)
    owed = written + OWED_MS / 1000
    try:
        answer = await asyncio.wait_for(client.answer(), owed - time.monotonic())
    except asyncio.TimeoutError:
        answer = Answer("none", time.monotonic())
    took = answer.at - written
    in_time = answer.kind in ("served", "refused", "failed") and answer.at <= owed
    record.add(f"client's {name}: {answer.kind} {answer.detail} after {took * 1000:.0f} ms"
               + ("" if in_time else f", no final answer within {OWED_MS} ms: LOST"), answer.at)
    if not in_time:
        try:
            late = await asyncio.wait_for(client.answer(), 6)
            record.add(f"client's {name}: {late.kind} {late.detail}, {(late.at - written) * 1000:.0f} ms after it was "
                       "sent", late.at)
        except asyncio.TimeoutError:
            pass
    client.close()
    return in_time


async def case(record):
    hosts = [Host("s-primary", 1, Sound(record, True)), Host("s-replica", 1, Sound(record, False))]
    for host in hosts:
        await host.start()
    discovery = Discovery(lambda: [hosts[0].entry("source"), hosts[1].entry("copy")])
    await discovery.start()
    classes = [
        (profile("trip-view", "idempotent", 400, 1000, lateWorth=0.2), "lag_bound", 1500 * MS),
        (profile("record-write", "deduplicated", 300, 2000, lateWorth=0.3, keyScope="cell", window=2 * SECOND),
         "mutate", 0),
    ]
    router = Router("n1", discovery.port, settings(classes), LIMITS, "8c1f30d27a5be964")
    try:
        await router.ready()

        def write(number):
            value = "41" * VALUE_LEN
            return (f"INSERT INTO records (k, v) VALUES ('k{number}', '\\x{value}') RETURNING v "
                    f"/* id=w{number},c=record-write,t=demo,d={D_MS},cluster=1 */")

        def read(number):
            return (f"SELECT v FROM records WHERE k = 'k{number}' "
                    f"/* id=r{number},c=trip-view,t=demo,d={D_MS},cluster=1 */")

        # The router learns its hosts, and the clients their connections, before the disruption.
        for number in range(100, 104):
            if not await request(record, router.port, f"write {number}", write(number), None):
                raise CannotRun("a request before the disruption got no answer")
        connections = []
        for number in range(2 * LARGE_WRITES):
            client = await Client(router.port).connect()
            client.send(read(200 + number))
            await asyncio.wait_for(client.answer(), 3)
            connections.append(client)
        bad = []
        if disrupted():
            until = time.monotonic() + BAD_FOR_S
            bad = [asyncio.create_task(bad_client(record, router.port, n, until)) for n in range(BAD_CLIENTS)]
            record.add(f"{BAD_CLIENTS} bad clients each send the first {BAD_SENT} bytes of a command and stop")
        await asyncio.sleep(0.15)
        requests = []
        for number in range(LARGE_WRITES):
            requests.append(asyncio.create_task(request(
                record, router.port, f"large write {number}", write(number), connections[2 * number])))
            requests.append(asyncio.create_task(request(
                record, router.port, f"small read {number}", read(number), connections[2 * number + 1])))
            await asyncio.sleep(0.02)
        in_time = await asyncio.gather(*requests)
        await asyncio.gather(*bad)
        record.add(f"{in_time.count(False)} of {len(in_time)} requests were lost")
        if router.process.poll() is not None:
            raise CannotRun("the router has ended")
        return all(in_time)
    finally:
        router.stop()


play(os.path.dirname(os.path.abspath(__file__)), case, 90)
