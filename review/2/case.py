"""Bad clients hold half requests, while sound clients have requests open and send a batch on the same connection."""

import asyncio
import pathlib
import sys
import time
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from stand import Client, Site, execute_frame, play, request_fields

MEMORY_MB, SOCKETS = 64, 512
BAD_CLIENTS = 40  # connections; with the sound ones 44, where clients may hold a third of the descriptors, which is 170
HALF_OF, HALF = 250_000, 240_000  # bytes of the whole body, and of the frame that a bad client sends
BATCH = 100_000  # bytes of a sound client's load
SECONDS = 12


async def main(record, trouble):
    async with Site(record, memory_mb=MEMORY_MB, sockets=SOCKETS) as site:
        for engine in site.engines:
            engine.seconds = lambda run: 1.0
        await site.coordinator.start()
        end = time.monotonic() + SECONDS
        answers, closed_on_bad = Counter(), 0

        async def bad_client():
            nonlocal closed_on_bad
            while time.monotonic() < end:
                client = await Client().connect(site.coordinator.address)
                client.writer.write(execute_frame(1, request_fields("load", 25000), b"x" * HALF_OF)[:HALF])
                while not client.ended and time.monotonic() < end:
                    await asyncio.sleep(0.02)
                closed_on_bad += client.ended
                client.close()

        async def sound_client(number):
            await asyncio.sleep(1 + number * 0.1)
            while time.monotonic() < end:
                client = await Client().connect(site.coordinator.address)
                fields = request_fields("report", 15000, 2000.0)
                began = time.monotonic()
                report = client.execute(fields, "select hours from lessons_3.hours")
                await asyncio.sleep(0.2)
                statement = b"insert into lessons_4.payments values (" + b"1" * BATCH + b")"
                load = client.execute(request_fields("load", 25000, 3000.0), statement)
                kind = (await asyncio.wait_for(report, 16)).kind
                ran = len(site.runs_of(fields["txn"]))
                record.line(
                    f"sound client {number}: report {fields['txn']} begun at engines {ran} times, after "
                    f"{time.monotonic() - began:.2f} s: {kind}"
                )
                answers["report " + kind + (" after it was sent on" if kind == "closed" and ran else "")] += 1
                answers["load " + (await asyncio.wait_for(load, 26)).kind] += 1
                client.close()
                await asyncio.sleep(0.2)

        bad = [asyncio.ensure_future(bad_client()) for _ in range(BAD_CLIENTS if trouble else 0)]
        await asyncio.gather(*[sound_client(number) for number in range(4)])
        for one in bad:
            one.cancel()
        record.line(f"connections of bad clients that the coordinator closed: {closed_on_bad}")
        record.line(f"answers to sound clients: {dict(answers)}")
        # Counted are reports that an engine had begun; not a load, whose last bytes may still be on their way.
        lost = answers["report closed after it was sent on"]
        record.say(f"{lost} of {sum(n for kind, n in answers.items() if kind.startswith('report'))} reports of sound clients lost")
        return 1 if lost else 0


play(HERE / "record.txt", main)
