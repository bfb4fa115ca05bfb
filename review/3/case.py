"""Devices on poor links: the link drops once, under a poll, while rows of several reports are on their way."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from edge import Device, operator_file, two_addresses
from stand import Site, play, rows_of

ROWS, ROW_BYTES = 480, 100  # 48,000 bytes, the most that a result holds; the engines' pages hold 6,000
LIMIT_MS = 15000


async def use(device, pause, trouble):
    """Four reports of one screen. The device needs `pause` seconds to come back, as its link is slow."""
    statements = ["select first from lessons_3.hours"]
    statements += [f"select hours from lessons_{group}.hours" for group in (4, 5, 6)]
    asking = asyncio.ensure_future(device.poll(25))
    await asyncio.sleep(0.1)
    await device.request("report", statements, LIMIT_MS)
    await asking
    while not device.wanted[1].finals:
        await device.poll()
    await asyncio.sleep(pause)
    if trouble:
        await device.poll_and_drop(0.3)
    end = time.monotonic() + LIMIT_MS / 1000 + 1
    while time.monotonic() < end and not all(wanted.finals for wanted in device.wanted.values()):
        await device.poll()


async def main(record, trouble):
    edge_address, spool_address = two_addresses()
    async with Site(record, operator_file=operator_file(edge_address, spool_address)) as site:
        made = {}  # statement -> the results that engines made for it

        def result(run):
            rows = rows_of(run.name, ROWS, ROW_BYTES)
            made.setdefault(run.statement.decode(), []).append(b"".join(rows).decode())
            return rows

        for engine in site.engines:
            engine.seconds = lambda run: 0.3 if b"first" in run.statement else 0.5
            engine.rows = result
        await site.coordinator.start()
        devices = [Device(record, edge_address, "tablet-1"), Device(record, edge_address, "tablet-2")]
        for device in devices:
            await device.begin()
        await asyncio.gather(use(devices[0], 0.5, trouble), use(devices[1], 0.9, trouble))
        broken = 0
        every_result = [one for results in made.values() for one in results]
        for device in devices:
            for key, wanted in device.wanted.items():
                got = wanted.body()
                whole = got in every_result
                late = wanted.final_at is not None and wanted.final_at - wanted.sent_at > LIMIT_MS / 1000 + 0.07
                fault = (
                    "no final answer"
                    if wanted.finals == 0
                    else f"{wanted.finals} final answers"
                    if wanted.finals > 1
                    else "late"
                    if late
                    else "final answer 'served', but rows are missing"
                    if wanted.how == "served" and not whole
                    else None
                )
                record.line(
                    f"{device.name} key={key}: {wanted.how}, {len(got)} of {ROWS * ROW_BYTES} bytes, "
                    f"{wanted.finals} final: {fault or 'kept'}"
                )
                if fault:
                    record.say(f"{device.name}, report {key}: {fault} ({len(got)} of {ROWS * ROW_BYTES} bytes)")
                    broken += 1
        record.say(f"{broken} of 8 requests broke the rule")
        return 1 if broken else 0


play(HERE / "record.txt", main)
