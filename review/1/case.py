"""A bad client of the edge sends one frame that can't be read, while sound clients have requests open."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from edge import Device, operator_file, post, two_addresses
from stand import Client, Site, play, request_fields

# Valid JSON and valid UTF-8. The frame's word is none that the protocol knows, and longer than 32 bytes; its 32nd byte is
# the first one of a character of two bytes.
UNREADABLE = {"link": "", "have": 0, "frames": [{"t": "reservatie-van-de-leerling-met-é"}]}


async def main(record, trouble):
    edge_address, spool_address = two_addresses()
    async with Site(record, operator_file=operator_file(edge_address, spool_address)) as site:
        for engine in site.engines:
            engine.seconds = lambda run: 1.5
        await site.coordinator.start()
        device = Device(record, edge_address, "tablet-1")
        await device.begin()
        await device.request("load", ["insert into lessons_3.hours values (1)"], 10000)
        clients = [await Client().connect(site.coordinator.address) for _ in range(4)]
        answers = {}
        for number, client in enumerate(clients):
            for verb, limit in (("lookup", 4000), ("report", 15000)):
                fields = request_fields(verb, limit, 1500.0)
                record.line(f"client {number} sends {verb} {fields['txn']}")
                answers[fields["txn"]] = client.execute(fields, "select a from sales_17.orders")
        await asyncio.sleep(0.5)
        record.line(f"{len(site.runs)} requests run at engines")
        if trouble:
            record.line("a bad client sends a frame that can't be read")
            status, body = await post(edge_address, "/edge/open", json.dumps(UNREADABLE, ensure_ascii=False).encode(), 5)
            record.line(f"the bad client got status {status}: {body[:200]!r}")
        lost = 0
        for name, answer in answers.items():
            kind = (await asyncio.wait_for(answer, 10)).kind
            record.line(f"answer to {name}: {kind}")
            lost += kind == "closed"
        await asyncio.sleep(0.5)  # so that the end of a process is known
        if site.coordinator.running():
            for _ in range(10):
                if device.wanted[1].finals:
                    break
                await device.poll()
            record.line(f"the device's load: {device.wanted[1].how}")
        running = site.coordinator.running()
        if not running:
            record.say(f"the coordinator ended by itself, with {site.coordinator.process.returncode}")
        record.say(f"{lost} of {len(answers)} requests that were taken have no answer")
        return 1 if lost or not running or not device.wanted[1].finals else 0


play(HERE / "record.txt", main)
