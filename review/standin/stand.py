"""Stand-ins for a coordinator's surroundings: engines, the list of engines, clients, and the coordinator's process.

Everything is on loopback and follows the operators' protocol pages. A stand-in misbehaves only where a case tells it to.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played: neither kept nor broken."""


# ---- Record ----


class Record:
    """What was sent, answered and run, a line each, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# ---- Settings of a small deployment, in the form of the simulator's first message ----


def settings():
    """Six engines, one coordinator, the classes and limits of the operators' example."""
    return {
        "balancers": 1,
        "clients": {"marks_retry": True},
        "costs": {"cross_zone": 0.0, "late_fail": 0.08, "probe": 0.01, "waste": 0.062},
        "customers": [
            {"name": "vlaanderen", "quota_rps": 69.0, "share": 0.57},
            {"name": "wallonie", "quota_rps": 52.0, "share": 0.43},
        ],
        "family_info": {
            "class_load": [False, False, True],
            "cores_by_kind": [16, 12],
            "largest_share": 0.4,
            "memory_heeded": False,
            "on_shortage": "page",
            "progress_us": 500000,
            "ram_of_kind_mb": [32768.0, 24576.0],
            "says_cost": False,
            "takes_priority": False,
            "threads_by_class": [1, 2, 2],
            "yields_to_loads": [True, False, False],
        },
        "goal": {"whole": 0.4, "worst_class": 0.35, "worst_tenant": 0.1, "worst_window": 0.15},
        "host_types": ["big-16c", "std-12c"],
        "kind_of_service": "queries",
        "layers": ["query-fleet"],
        "limits": {
            "conn_idle_us": 15000000,
            "connect_timeout_us": 250000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 611802,
            "max_open": 30590,
            "max_retry_after_us": 1000000,
            "may_cancel": True,
            "may_duplicate": False,
            "may_probe": True,
            "most_tries": 5,
            "multiplex": 100,
            "peers": False,
            "retry_after": False,
        },
        "localities": ["gent-room1"],
        "locality": "gent-room1",
        "over_share_worth": 0.1,
        "profiles": [
            profile("lookup", "repeatable", 800000, 4000000, 2.0, 1.0, 0.0),
            profile("report", "repeatable", 3000000, 15000000, 2.5, 7.5, 0.3),
            profile("load", "once", 3000000, 25000000, 2.5, 10.0, 0.6),
        ],
        "rank": 0,
        "registry_mode": "push",
        "reporting": {"how": "piggyback", "names": ["concurrent", "load_share", "x1"]},
        "resolution_us": 5000,
        "rules": {
            "answer_slack_us": 20000,
            "ask_within_us": 10000000,
            "cold_from": 0.31,
            "cold_us": 15000000,
            "drain_grace_us": 1000000,
            "fall_us": 1500000,
            "overload_factor": 4.0,
        },
        "tier": 0,
        "weights": "rough",
        "worth_by": "request",
    }


def profile(name, effect, objective_us, hard_limit_us, stretch, worth, late_share):
    """One class of the settings."""
    return {
        "aim_stretch": stretch,
        "dedup_scope": "all",
        "dedup_window_us": 5000000,
        "effect": effect,
        "hard_limit_us": hard_limit_us,
        "late_share": late_share,
        "name": name,
        "objective_us": objective_us,
        "streamed": False,
        "worth": worth,
    }


# ---- Engines ----


class Run:
    """One execution of a statement by an engine."""

    def __init__(self, engine, name, fields, statement):
        self.engine, self.name, self.fields, self.statement = engine, name, fields, statement
        self.at = time.monotonic()


class Engine:
    """A query engine: runs what it is sent, answers with pages, sends notes, heeds cancel and a closed connection.

    `behave(run)` may return "ok", "eio", "hang" or "reset"; `seconds(run)` says how long a run takes; `rows(run)` gives its
    result. Each run that begins is appended to `runs`, which the engines of a site share.
    """

    def __init__(self, number, runs, record, page_bytes=6000):
        self.number, self.runs, self.record, self.page_bytes = number, runs, record, page_bytes
        self.behave = lambda run: "ok"
        self.seconds = lambda run: 0.05
        self.rows = lambda run: rows_of(run.name, 3)
        self.notes = 0.5
        self.server = None
        self.inflight = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 26)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        if self.server:
            self.server.close()

    async def serve(self, reader, writer):
        tasks, results = {}, {}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                words = line.split(" ")
                if words[0] == "serve":
                    statement = await reader.readexactly(int(words[3]))
                    await reader.readexactly(2)
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",")) if words[2] != "-" else {}
                    run = Run(self, words[1], fields, statement)
                    self.runs.append(run)
                    self.record.line(f"engine {self.number} got serve {run.name} lane={fields.get('lane')}")
                    tasks[run.name] = asyncio.ensure_future(self.execute(run, writer, results))
                elif words[0] in ("cancel", "release"):
                    self.record.line(f"engine {self.number} got {words[0]} {words[1]}")
                    results.pop(words[1], None)
                    if words[1] in tasks:
                        tasks.pop(words[1]).cancel()
                elif words[0] == "read":
                    pages = results.get(words[1])
                    number = int(words[2])
                    if pages is None or not 0 < number < len(pages):
                        writer.write(f"{words[1]} EIO - 0\r\n\r\n".encode())
                    else:
                        page = pages[number]
                        writer.write(f"{words[1]} BLOCK pos={number} {len(page)}\r\n".encode() + page + b"\r\n")
                elif words[0] in ("health", "gauges"):
                    writer.write(f"{words[1]} READY {self.report()} 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, IndexError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    def report(self):
        return f"rep=inflight:{self.inflight};util:{min(1.0, self.inflight / 16):.2f};x1:0.10"

    async def execute(self, run, writer, results):
        self.inflight += 1
        try:
            how = self.behave(run)
            if how == "hang":
                await asyncio.sleep(3600)
            end = time.monotonic() + self.seconds(run)
            total = max(0.001, end - time.monotonic())
            while (left := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left, self.notes))
                if end - time.monotonic() > 0.01:
                    share = max(0.01, 1 - (end - time.monotonic()) / total)
                    writer.write(f"{run.name} EVENT why=pct,reading={share:.2f} 0\r\n\r\n".encode())
            if how == "reset":
                self.record.line(f"engine {self.number} resets the connection of {run.name}")
                reset(writer)
                return
            if how == "eio":
                self.record.line(f"engine {self.number} answers EIO to {run.name}")
                writer.write(f"{run.name} EIO {self.report()} 0\r\n\r\n".encode())
                return
            pages = cut_pages(self.rows(run), self.page_bytes)
            results[run.name] = pages
            head = f"{run.name} ACK count={len(pages)},{self.report()} {len(pages[0])}\r\n".encode()
            writer.write(head + pages[0] + b"\r\n")
            self.record.line(f"engine {self.number} answered {run.name}: {len(pages)} pages")
        except ConnectionError:
            pass
        finally:
            self.inflight -= 1


def reset(writer):
    """Closes a connection such that the other side sees a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def rows_of(name, count, width=0):
    """Whole rows of three text columns, all different."""
    rows = []
    for number in range(count):
        row = f"{number}\t{name}\t"
        rows.append((row + "x" * max(1, width - len(row) - 1) + "\n").encode())
    return rows


def cut_pages(rows, page_bytes):
    """Whole rows, no more than `page_bytes` a page."""
    pages = [b""]
    for row in rows:
        if len(pages[-1]) + len(row) > page_bytes:
            pages.append(b"")
        pages[-1] += row
    return pages


# ---- The list of engines ----


class Directory:
    """Tells numbered changes of the list, and the last number every second."""

    def __init__(self, engines, record):
        self.record = record
        self.rows = [
            {
                "name": f"s-{engine.number:08x}",
                "address": engine.address,
                "zone": "gent-room1",
                "type": "big-16c" if engine.number % 2 == 0 else "std-12c",
                "group": 0,
                "status": "active",
                "weight": 1,
                "since_ms": 0,
            }
            for engine in engines
        ]
        self.events = [self.event(1, True, self.rows)]
        self.writers = []

    @staticmethod
    def event(index, snapshot, rows):
        return {"index": index, "endpoints": {"index": index, "snapshot": snapshot, "endpoints": rows}}

    def known(self):
        return {"index": len(self.events), "updates": self.events}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode().split()
            last = int(line[1])
            while True:
                for event in self.events[last:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                last = len(self.events)
                writer.write(f"{last}\n".encode())
                await writer.drain()
                await asyncio.sleep(1)
        except (ConnectionError, IndexError, ValueError):
            pass
        finally:
            writer.close()


# ---- Clients: Thrift, framed, strict binary ----


def text(value):
    raw = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">i", len(raw)) + raw


def message(kind, method, call, args):
    body = struct.pack(">I", 0x80010000 | kind) + text(method) + struct.pack(">i", call) + args
    return struct.pack(">i", len(body)) + body


def execute_frame(call, fields, statement):
    args = b"\x0d\x00\x01\x0b\x0b" + struct.pack(">i", len(fields))
    for name, value in fields.items():
        args += text(name) + text(value)
    args += b"\x0b\x00\x02" + text(statement) + b"\x00"
    return message(1, "execute", call, args)


def interrupt_frame(call):
    return message(4, "interrupt", 0, b"\x08\x00\x01" + struct.pack(">i", call) + b"\x00")


def check_frame(call):
    return message(1, "check", call, b"\x02\x00\x01\x01\x00")


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_fields(verb, limit_ms, cpu=150.0, team="vlaanderen", name=None):
    return {
        "verb": verb,
        "txn": name or new_id(),
        "limit": str(limit_ms),
        "team": team,
        "cpu": f"{cpu:.1f}",
        "mem": "96",
    }


class Answer:
    """kind: "served", "refused", "failed" or, for a connection that ended, "closed"."""

    def __init__(self, kind, body=b"", good=False):
        self.kind, self.body, self.good = kind, body, good


class Client:
    """A client's connection."""

    def __init__(self):
        self.calls, self.last_call, self.ended = {}, 0, False
        self.extra_answers = 0

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())
        return self

    def close(self):
        self.task.cancel()
        self.writer.close()

    def send(self, frame, call):
        future = asyncio.get_running_loop().create_future()
        self.calls[call] = future
        self.writer.write(frame)
        return future

    def next_call(self):
        self.last_call += 1
        return self.last_call

    def execute(self, fields, statement):
        call = self.next_call()
        return self.send(execute_frame(call, fields, statement), call)

    def check(self):
        call = self.next_call()
        return self.send(check_frame(call), call)

    async def read(self):
        try:
            while True:
                (length,) = struct.unpack(">i", await self.reader.readexactly(4))
                frame = await self.reader.readexactly(length)
                call, answer = parse_reply(frame)
                future = self.calls.pop(call, None)
                if future is None:
                    self.extra_answers += 1
                elif not future.done():
                    future.set_result(answer)
        except (asyncio.IncompleteReadError, ConnectionError, struct.error):
            pass
        finally:
            self.ended = True
            for future in self.calls.values():
                if not future.done():
                    future.set_result(Answer("closed"))
            self.calls.clear()


def parse_reply(frame):
    """The call's number and its answer."""
    (head,) = struct.unpack_from(">I", frame, 0)
    (length,) = struct.unpack_from(">i", frame, 4)
    at = 8 + length
    (call,) = struct.unpack_from(">i", frame, at)
    at += 4
    if head & 0xFF == 3:
        return call, Answer("failed")
    kind, field = struct.unpack_from(">bh", frame, at)
    at += 3
    if kind != 12:
        return call, Answer("failed")
    if field != 0:
        return call, Answer("refused" if field == 1 else "failed")
    body, good = b"", False
    while True:
        kind = frame[at]
        at += 1
        if kind == 0:
            return call, Answer("served", body, good)
        at += 2
        if kind == 11:
            (length,) = struct.unpack_from(">i", frame, at)
            body = frame[at + 4 : at + 4 + length]
            at += 4 + length
        elif kind == 13:
            (entries,) = struct.unpack_from(">i", frame, at + 2)
            at += 6
            for _ in range(2 * entries):
                (length,) = struct.unpack_from(">i", frame, at)
                at += 4 + length
        elif kind == 2:
            good = frame[at] == 1
            at += 1
        else:
            raise ValueError("reply")


# ---- The coordinator's process ----


def deploy_line(name):
    """The value of a line of deploy/balancer.toml."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
        key, _, value = line.partition("=")
        if key.strip() == name:
            return value.strip().strip('"')
    raise CannotRun(f"deploy/balancer.toml has no line {name}")


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Coordinator:
    """The project's program, started by the deploy file's line `run`, with the operator's file where there is one."""

    def __init__(self, record, folder, directory, params, operator_file=None, memory_mb=192, sockets=1024):
        self.record, self.folder = record, pathlib.Path(folder)
        self.address = f"{HOST}:{free_port()}"
        self.directory, self.params, self.operator_file = directory, params, operator_file
        self.memory_mb, self.sockets = memory_mb, sockets
        self.process, self.starts = None, 0

    def write_config(self, params=None):
        config = {
            "name": "n0",
            "listen": self.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "coordinator": self.directory.address,
            "known": self.directory.known(),
            "settings": params or self.params,
        }
        path = self.folder / "config.json"
        part = self.folder / "config.json.new"
        part.write_text(json.dumps(config), encoding="utf-8")
        part.replace(path)
        return path

    async def start(self):
        program = ROOT / "build" / "steprail"
        if not program.exists():
            raise CannotRun("build/steprail is missing: run the deploy file's line build first")
        path = self.write_config()
        command = deploy_line("run")
        if self.operator_file:
            conf = self.folder / "steprail.conf"
            conf.write_text(self.operator_file, encoding="utf-8")
            command += f" --conf {conf}"
        temporary = self.folder / f"tmp{self.starts}"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "NODE_NAME": "n0",
            "NODE_LISTEN": self.address,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        self.log = open(self.folder / f"coordinator{self.starts}.log", "wb")
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.record.line(f"coordinator started at {self.address}")
        await self.wait_ready()

    async def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"the coordinator ended with {self.process.returncode} before it was ready:\n{self.log_text()}")
            try:
                client = await Client().connect(self.address)
                answer = await asyncio.wait_for(client.check(), 1)
                client.close()
                if answer.kind == "served" and answer.good:
                    return self.record.line("coordinator is ready")
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the coordinator did not get ready")

    def log_text(self):
        return (self.folder / f"coordinator{self.starts - 1}.log").read_text(encoding="utf-8", errors="replace")

    def signal(self, number):
        self.record.line(f"coordinator gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def memory_kb(self, what="VmRSS"):
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="utf-8"):
                if line.startswith(what + ":"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0

    async def kill(self):
        if self.running():
            self.process.kill()
            await self.process.wait()


class Site:
    """One coordinator with its engines and its list, in a temporary folder."""

    def __init__(self, record, engines=6, params=None, **options):
        self.record, self.runs = record, []
        self.folder = tempfile.mkdtemp(prefix="steprail-review-")
        self.engines = [Engine(number, self.runs, record) for number in range(engines)]
        self.params, self.options = params or settings(), options

    async def __aenter__(self):
        for engine in self.engines:
            await engine.start()
        self.directory = Directory(self.engines, self.record)
        await self.directory.start()
        operator_file = self.options.pop("operator_file", None)
        if operator_file:
            operator_file = operator_file(self.folder)
        self.coordinator = Coordinator(self.record, self.folder, self.directory, self.params, operator_file, **self.options)
        return self

    async def __aexit__(self, *_):
        await self.coordinator.kill()
        for engine in self.engines:
            engine.stop()
        self.directory.server.close()
        if self.coordinator.starts and not self.coordinator.log.closed:
            self.coordinator.log.close()
        if self.coordinator.starts:
            self.record.line("log of the coordinator:")
            for line in self.coordinator.log_text().splitlines()[-60:]:
                self.record.file.write("    " + line + "\n")
        shutil.rmtree(self.folder, ignore_errors=True)

    def runs_of(self, name):
        return [run for run in self.runs if run.name == name]


def play(record_path, main):
    """Runs a case and ends with its exit code: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"TROUBLE={int(trouble)}")

    async def bounded():
        # Told to end, the case still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(main(record, trouble), 110)

    try:
        code = asyncio.run(bounded())
    except CannotRun as fault:
        record.say(f"the case could not run: {fault}")
        code = CANNOT_RUN
    except (asyncio.TimeoutError, asyncio.CancelledError):
        record.say("the case could not run: it took too long, or was told to end")
        code = CANNOT_RUN
    except Exception as fault:  # a fault of the test itself must not look like a broken rule
        record.say(f"the case could not run: {type(fault).__name__}: {fault}")
        code = CANNOT_RUN
    record.line(f"exit code {code}")
    sys.exit(code)
