"""Case 6: a read that must not run twice is refused after a database host has run it. See claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import rig  # noqa: E402

CLIENTS = 150
COMMANDS_AT_ONCE = 8
VALUE = bytes(64 * 1024)  # the longest value
MEMORY_MB = 32
SOCKETS = 1024
GROUPS = 3
MEMBERS = 4  # of each group
FLAPPING = 4  # of the 12 database hosts fail and recover by turns
FLAPPING_S = (4.0, 34.0)  # seconds in which they do so
TURN_S = 4.0
BAD_SHARE = 0.5  # of a turn, in which they take requests and answer none
WORK_S = (0.086, 0.15)
DAY_S = 38.0
PAUSE_S = 1.0
DEADLINE_S = 3.0

CLASSES = [
    {"name": "pull-stats", "read": "eventual", "aim": 0.75, "deadline": DEADLINE_S, "effect": "at_most_once",
     "worth": 3},
]


async def case(record, trouble):
    rng = random.Random(7)
    broken = []
    counts = {}
    started = [0.0]
    phase = {f"replica-{n % GROUPS + 1}-{n // GROUPS + 1}": rng.uniform(0, TURN_S) for n in range(FLAPPING)}

    def is_bad(host):
        since_start = time.monotonic() - started[0]
        if not trouble or host.name not in phase or not FLAPPING_S[0] <= since_start < FLAPPING_S[1]:
            return False
        return (since_start + phase[host.name]) % TURN_S < BAD_SHARE * TURN_S

    runs = {}  # key -> the ids with which database hosts have run it

    async def serve(host, statement, connection):
        await asyncio.sleep(rng.uniform(*WORK_S))
        if is_bad(host):
            return None
        record.line(f"{host.name} connection {connection} has run {statement.id} and answers it")
        runs.setdefault(statement.text.split("'")[1], []).append(statement.id)
        return rig.Reply(value=VALUE, rank="source" if host.name.startswith("primary") else "copy",
                         as_of=rig.now_ms() - 10)

    hosts = []
    for group in range(1, GROUPS + 1):
        hosts.append(rig.Host(f"primary-{group}", group, record, serve))
        hosts += [rig.Host(f"replica-{group}-{n}", group, record, serve) for n in range(1, MEMBERS)]
    discovery = rig.Discovery(record)
    for host in hosts:
        is_primary = host.name.startswith("primary")
        host.vitals = lambda is_primary=is_primary: "x0=%.6f,x1=%d" % (rig.now_ms() / 1000 - 0.01, is_primary)
        await host.start()
        discovery.add(host)
    await discovery.start()
    router = rig.Router("n1", discovery.addr, rig.settings(CLASSES, familyInfo__roleListed="none", reporting__via="probe"),
                        discovery.full(), record, memory_mb=MEMORY_MB, sockets=SOCKETS)
    number = [0]

    def command(key):
        number[0] += 1
        request_id = f"{number[0]:08x}{rng.getrandbits(32):08x}"
        record.line(f"client sends {request_id} for {key}")
        return request_id, rig.select(key, request_id, "pull-stats", DEADLINE_S * 1000,
                                      rng.randint(1, GROUPS))

    def note(request_id, key, answer):
        counts[answer.kind] = counts.get(answer.kind, 0) + 1
        record.line(f"client gets {request_id} {answer.kind} {answer.code}")
        if answer.kind == "refused" and request_id in runs.get(key, []):
            broken.append(f"refused: {request_id} got {answer.code} after a database host had run it")

    async def ask_again(key):
        """A client whose request was refused may try again."""
        connection = rig.ClientConnection(router.listen)
        await connection.open()
        request_id, text = command(key)
        answer = await connection.send(text)
        note(request_id, key, answer)
        connection.close()
        if len(runs.get(key, [])) > 1:
            broken.append(f"run twice: {key} as {' and '.join(runs[key])}")

    async def client(index):
        connection = rig.ClientConnection(router.listen)
        await connection.open()
        while time.monotonic() - started[0] < DAY_S:
            sent = []
            for _ in range(COMMANDS_AT_ONCE):
                key = f"c{index}-{number[0]}"
                request_id, text = command(key)
                future = connection.send(text)
                sent.append((request_id, key, future))
                if not trouble:
                    await future
            for request_id, key, future in sent:
                answer = await future
                note(request_id, key, answer)
                if answer.kind == "refused":
                    await ask_again(key)
            await asyncio.sleep(PAUSE_S)
        connection.close()

    try:
        router.start()
        await router.ready()
        started[0] = time.monotonic()
        await asyncio.gather(*(client(index) for index in range(CLIENTS)))
        if router.has_crashed():
            broken.append("crash: the router has ended")
        record.line(f"answers: {counts}, peak memory {router.peak_memory_mb():.1f} MB")
        print("answers:", counts, "peak memory %.1f MB" % router.peak_memory_mb())
        return broken
    finally:
        router.end()


rig.main(case, FOLDER)
