"""Bad clients send many requests with large bodies at once, while sound clients go on."""

import asyncio
import pathlib
import sys
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from stand import Client, Site, play, request_fields

MEMORY_MB, SOCKETS = 64, 512
BAD_CLIENTS = 20  # connections; clients may hold a third of the descriptors, which is 170
REQUESTS = 32  # at once on each connection, as many as may be open on it
BODY_BYTES = 200_000
CORES = 14  # of an engine; what it holds beyond them shares them


async def main(record, trouble):
    async with Site(record, memory_mb=MEMORY_MB, sockets=SOCKETS) as site:
        for engine in site.engines:
            engine.seconds = lambda run: 0.15 * max(1.0, run.engine.inflight / CORES)
        coordinator = site.coordinator
        await coordinator.start()
        sound, end = Counter(), asyncio.get_running_loop().time() + 10

        async def sound_client():
            client = await Client().connect(coordinator.address)
            while asyncio.get_running_loop().time() < end:
                sound[(await client.execute(request_fields("lookup", 4000), "select a from sales_17.orders")).kind] += 1
                await asyncio.sleep(0.05)
            client.close()

        async def bad_client(number):
            client = await Client().connect(coordinator.address)
            statement = b"select a from sales_17.orders where note = '" + b"x" * BODY_BYTES + b"'"
            answers = []
            try:
                for _ in range(REQUESTS):
                    answers.append(client.execute(request_fields("lookup", 4000), statement))
                    await client.writer.drain()
            except ConnectionError:
                pass
            kinds = Counter([(await answer).kind for answer in answers])
            record.line(f"bad client {number}: {dict(kinds)}")
            client.close()

        async def watch():
            highest = 0
            while asyncio.get_running_loop().time() < end and coordinator.running():
                highest = max(highest, coordinator.memory_kb() // 1024)
                await asyncio.sleep(0.02)
            return highest

        watching = asyncio.ensure_future(watch())
        clients = [asyncio.ensure_future(sound_client()) for _ in range(4)]
        await asyncio.sleep(1)
        if trouble:
            await asyncio.gather(*[bad_client(number) for number in range(BAD_CLIENTS)])
        await asyncio.gather(*clients)
        highest = await watching
        record.line(f"sound clients: {dict(sound)}")
        record.say(f"the coordinator held {highest} MB at most; its limit is {MEMORY_MB} MB")
        return 1 if highest > MEMORY_MB or not coordinator.running() else 0


play(HERE, main)
