"""A device on the edge's long poll, and a call that sends any bytes. Follows the project's protocol page for the edge."""

import asyncio
import json
import time

from stand import HOST, free_port


def operator_file(edge, spool):
    """The operator's file that turns on the spool and the edge, with a ledger; all else is as the program sets it."""
    return lambda folder: (
        f"spool {{\n  listen {spool}\n  memory 32m\n}}\n"
        f"edge {{\n  listen {edge}\n  home gent-1\n  ledger {folder}/ledger 16m\n}}\n"
    )


def two_addresses():
    return f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"


async def open_post(address, path, body):
    """Sends a POST of its own connection and returns the connection."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: edge\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    writer.write(head.encode() + body)
    return reader, writer


async def post(address, path, body, seconds):
    """Sends a POST and returns the status and the body of its answer; (0, b"") where the connection just ends."""
    reader, writer = await open_post(address, path, body)
    try:
        data = await asyncio.wait_for(reader.read(), seconds)
    except ConnectionError:
        data = b""
    finally:
        writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), rest


class Wanted:
    """A request of a device, and what the edge said of it."""

    def __init__(self, request):
        self.request, self.sent_at = request, time.monotonic()
        self.how, self.row_count, self.parts, self.finals, self.final_at = None, None, [], 0, None

    def body(self):
        return "".join(text for _, text in sorted(self.parts))

    def final(self):
        self.finals += 1
        self.final_at = time.monotonic()


class Device:
    """Sends numbered messages, takes those of the edge in order, acknowledges them with its next poll."""

    def __init__(self, record, address, name):
        self.record, self.address, self.name = record, address, name
        self.have, self.next_seq, self.last_key, self.wanted, self.token = 1, 1, 0, {}, None

    async def call(self, path, frames, seconds=10):
        """The frames of the edge's answer; a link that the edge has ended is opened anew first."""
        body = json.dumps({"link": self.link, "have": self.have, "frames": frames}).encode()
        status, answer = await post(self.address, path, body, seconds)
        if status == 410:
            await self.begin()
            return []
        return json.loads(answer)["frames"] if status == 200 else []

    async def begin(self):
        """Opens a link: goes on with the session where there is one, else begins one and sends again what is open."""
        hello = {"t": "hello", "tenant": "vlaanderen", "device": self.name, "have": self.have, "deadline": 15000}
        if self.token:
            hello["token"] = self.token
        body = json.dumps({"link": "", "have": self.have, "frames": [hello]}).encode()
        _, answer = await post(self.address, "/edge/open", body, 10)
        answer = json.loads(answer)
        self.link = answer["link"]
        welcome = next(frame for frame in answer["frames"] if frame["t"] == "welcome")
        self.record.line(f"{self.name}: welcome, resumed={welcome['resumed']}")
        self.token, self.incarnation = welcome["token"], welcome["incarnation"]
        if not welcome["resumed"]:
            self.have = self.next_seq = welcome["have"]
            again = [self.message(wanted.request) for wanted in self.wanted.values() if not wanted.finals]
            if again:
                await self.call("/edge/send", again)

    def message(self, body):
        frame = {"t": "msg", "seq": self.next_seq, "have": self.have, "body": body}
        self.next_seq += 1
        return frame

    async def request(self, verb, statements, limit_ms):
        frames = []
        for statement in statements:
            self.last_key += 1
            body = {
                "k": "request",
                "key": self.last_key,
                "first": self.incarnation,
                "verb": verb,
                "statement": statement,
                "limit": limit_ms,
                "cpu": 1500.0,
                "mem": 96.0,
            }
            self.wanted[self.last_key] = Wanted(body)
            frames.append(self.message(body))
            self.record.line(f"{self.name}: request key={self.last_key} {verb} '{statement}' limit={limit_ms}")
        await self.call("/edge/send", frames)

    async def poll(self, seconds=3):
        try:
            frames = await self.call("/edge/poll", [], seconds)
        except asyncio.TimeoutError:
            return
        for frame in frames:
            if frame["t"] == "msg" and frame["seq"] == self.have:
                self.have += 1
                self.take(frame["body"])
            elif frame["t"] == "ping":
                await self.call("/edge/send", [{"t": "pong", "nonce": frame["nonce"], "have": self.have}])
            elif frame["t"] == "error":
                self.record.line(f"{self.name}: error {frame['code']}")

    async def poll_and_drop(self, seconds):
        """The link drops under a poll: what the edge sends for it arrives nowhere."""
        body = json.dumps({"link": self.link, "have": self.have, "frames": []}).encode()
        _, writer = await open_post(self.address, "/edge/poll", body)
        await asyncio.sleep(seconds)
        writer.transport.abort()
        self.record.line(f"{self.name}: the link drops under a poll, have={self.have}")

    def take(self, body):
        wanted = self.wanted.get(body.get("key"))
        if wanted is None:
            return
        if body["k"] == "answer":
            self.record.line(f"{self.name}: answer key={body['key']} how={body['how']} rows={body.get('rows')}")
            # In a session of its own the edge tells all of it anew.
            wanted.how, wanted.row_count, wanted.parts = body["how"], body.get("rows", 0), []
            if body["how"] != "served" or not body.get("rows"):
                wanted.final()
        elif body["k"] == "rows":
            wanted.code = body.get("code")
            self.record.line(
                f"{self.name}: rows key={body['key']} row={body['row']} count={body['count']} last={body['last']}"
            )
            wanted.parts.append((body["row"], body.get("text", "")))
            if body["last"]:
                wanted.final()
