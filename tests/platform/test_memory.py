"""Tests memory and descriptors of processes under clients outside the limits.

Each test guards against a process that ends, hangs or outgrows its machine
under one kind of client. The bounds are what the settings state of the
machine. They must run one at a time: the crowds add up.
"""

import contextlib
import os
import selectors
import socket
import struct
import time

import pytest

from pomelostair_standins import platformsite

WAIT_S = 20.0
# Longest time until each client of a crowd was sent in full, rejected or
# closed. Those whose answers are not read are closed after 5 s.
CROWD_S = 60.0
MEMORY_MB = 80
MAX_FDS = 400
CLIENTS = 96
# More than descriptors allow.
CONNECTIONS = 450
MIB = 1024 * 1024
PATH = f"{platformsite.PREFIX}00000000000000ff"
HEARTBEAT = "/Instances.Heartbeat/i-0"
STEPS = [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 300}]


@pytest.fixture
def site(tmp_path):
    platform_site = platformsite.PlatformSite(
        tmp_path,
        entries=1,
        sides=1,
        settings={
            "limits.memoryMb": str(MEMORY_MB),
            "limits.maxFds": str(MAX_FDS),
        },
    )
    try:
        platform_site.start()
        yield platform_site
    finally:
        platform_site.stop()


class Watched:
    """A process under a crowd of clients."""

    def __init__(self, site, name):
        self._site = site
        self.name = name
        self.pid = site.pid(name)
        self.most_fds = 0

    @property
    def peak_bytes(self):
        with open(f"/proc/{self.pid}/status") as file:
            lines = dict(line.split(":", 1) for line in file)
        return int(lines["VmHWM"].split()[0]) * 1024

    def count_fds(self):
        count = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.most_fds = max(self.most_fds, count)

    def check(self):
        """Checks the process, its memory and descriptors, and its service."""
        site = self._site
        assert os.path.exists(f"/proc/{self.pid}")
        assert site.pid(self.name) == self.pid
        print(self.name, self.peak_bytes // MIB, "MiB", self.most_fds, "fds")
        assert self.peak_bytes < MEMORY_MB * MIB
        assert self.most_fds < MAX_FDS
        entry = site.entries[0]
        wait_until(lambda: site.is_ready(entry))
        agent = f"{site.sides[0]}:{site.metrics}"
        wait_until(lambda: site.call(agent, "GET", "/healthz")[0] == 200)
        name = "00000000000000a1"
        wait_until(lambda: site.submit(entry, name, STEPS) == 200)
        wait_until(lambda: site.state(entry, name) == "completed")


@pytest.fixture
def entry(site):
    return Watched(site, "edge-0")


@pytest.fixture
def agent(site):
    return Watched(site, "side-0")


def wait_until(condition, wait_s=WAIT_S):
    deadline = time.monotonic() + wait_s
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def connect(address):
    client = socket.socket()
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        client.connect(address)
    return client


def run_crowd(watched, address, payloads, reads=True):
    """Sends each payload over its own connection, all of them at once.

    Args:
        watched: Process whose descriptors are counted meanwhile.
        address: IP and port that the clients connect to.
        payloads: Bytes that each client sends.
        reads: Whether the clients read answers.

    Returns:
        The connections, which are still open.
    """
    selector = selectors.DefaultSelector()
    clients = []
    for payload in payloads:
        client = connect(address)
        clients.append(client)
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)
        selector.register(client, events, [memoryview(payload)])
    deadline = time.monotonic() + CROWD_S
    while selector.get_map():
        assert time.monotonic() < deadline, "clients have unsent data"
        for key, events in selector.select(0.05):
            try:
                finished = _advance(key, events)
            except OSError:
                finished = True
            if finished:
                selector.unregister(key.fileobj)
        watched.count_fds()
    time.sleep(0.3)
    watched.count_fds()
    selector.close()
    return clients


def _advance(key, events):
    if events & selectors.EVENT_READ and not key.fileobj.recv(65536):
        return True
    if events & selectors.EVENT_WRITE:
        sent = key.fileobj.send(key.data[0][:262144])
        key.data[0] = key.data[0][sent:]
    return not key.data[0]


def close(clients):
    for client in clients:
        client.close()


def post(path, length, sent):
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {platformsite.ROUTE_HOST}\r\n"
        f"content-length: {length}\r\n\r\n"
    )
    return head.encode() + b"x" * sent


def post_body(path, body):
    return post(path, len(body), 0) + body


def post_chunked(path, size):
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {platformsite.ROUTE_HOST}\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    )
    chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
    return head.encode() + chunk * (size // 4096)


def endless_head(size):
    line = b"x-filling: " + b"y" * 1000 + b"\r\n"
    return b"GET / HTTP/1.1\r\nhost: a\r\n" + line * (size // len(line))


def callers(site):
    return site.entries[0], site.front


def readiness(site):
    return site.entries[0], site.readiness


def control(site):
    return site.sides[0], site.control


class TestBodies:
    def test_announced_far_over_the_limit(self, site, entry):
        payload = post(PATH, 1000 * MIB, 2 * MIB)
        close(run_crowd(entry, callers(site), [payload] * CLIENTS))
        entry.check()

    def test_announced_and_one_byte_short(self, site, entry):
        payload = post(PATH, MIB - 1, MIB - 2)
        close(run_crowd(entry, callers(site), [payload] * CLIENTS))
        entry.check()

    def test_many_small_ones_one_byte_short(self, site, entry):
        payload = post(PATH, 23_000, 22_999)
        close(run_crowd(entry, callers(site), [payload] * CONNECTIONS))
        entry.check()

    def test_chunked_without_a_length(self, site, entry):
        payload = post_chunked(PATH, MIB - 4096)
        close(run_crowd(entry, callers(site), [payload] * CLIENTS))
        entry.check()

    def test_at_the_readiness_check(self, site, entry):
        payload = post("/ready", MIB - 1, MIB - 2)
        close(run_crowd(entry, readiness(site), [payload] * CLIENTS))
        entry.check()

    def test_heartbeats_one_byte_short(self, site, agent):
        payload = post(HEARTBEAT, 4 * MIB - 1, 4 * MIB - 2)
        close(run_crowd(agent, control(site), [payload] * 32))
        agent.check()

    def test_heartbeats_chunked(self, site, agent):
        payload = post_chunked(HEARTBEAT, 4 * MIB - 4096)
        close(run_crowd(agent, control(site), [payload] * 32))
        agent.check()

    def test_leave_the_readiness_check_answered(self, site, entry):
        payload = post(PATH, MIB - 1, MIB - 2)
        clients = run_crowd(entry, callers(site), [payload] * CLIENTS)
        assert site.is_ready(site.entries[0])
        close(clients)
        entry.check()


class TestHeads:
    def test_that_never_end(self, site, entry):
        payloads = [endless_head(31 * 1024)] * CONNECTIONS
        close(run_crowd(entry, callers(site), payloads))
        entry.check()

    def test_that_never_end_at_the_readiness_check(self, site, entry):
        payloads = [endless_head(31 * 1024)] * CONNECTIONS
        close(run_crowd(entry, readiness(site), payloads))
        entry.check()


class TestConnections:
    def test_answers_that_are_not_read(self, site, entry):
        request = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
        payloads = [request * 2000] * CLIENTS
        close(run_crowd(entry, readiness(site), payloads, reads=False))
        entry.check()

    def test_half_closed(self, site, entry):
        payload = post(PATH, MIB - 1, MIB - 2)
        clients = run_crowd(entry, callers(site), [payload] * CLIENTS)
        for client in clients:
            with contextlib.suppress(OSError):
                client.shutdown(socket.SHUT_WR)
        time.sleep(0.3)
        close(clients)
        entry.check()

    def test_rejected_and_kept_open(self, site, entry):
        payload = post(PATH, 1000 * MIB, 1)
        close(run_crowd(entry, callers(site), [payload] * CONNECTIONS))
        entry.check()

    def test_reset(self, site, entry):
        for _ in range(5):
            payload = post(PATH, MIB - 1, 200_000)
            clients = run_crowd(entry, callers(site), [payload] * CLIENTS)
            for client in clients:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            close(clients)
        entry.check()

    def test_flood_of_cancelled_ids(self, site, entry):
        payloads = [
            b"".join(
                (
                    f"DELETE {platformsite.PREFIX}{client:08x}{n:08x} HTTP/1.1"
                    f"\r\nhost: {platformsite.ROUTE_HOST}\r\n\r\n"
                ).encode()
                for n in range(20)
            )
            for client in range(1, CLIENTS + 1)
        ]
        close(run_crowd(entry, callers(site), payloads))
        entry.check()


class TestValues:
    def test_deeply_nested_submissions(self, site, entry):
        body = b'{"other":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
        payload = post_body(PATH, body[:23_000])
        close(run_crowd(entry, callers(site), [payload] * CLIENTS))
        entry.check()

    def test_submissions_of_many_steps(self, site, entry):
        body = b'{"steps":[' + b"{}," * 7500 + b"{}]}"
        close(
            run_crowd(entry, callers(site), [post_body(PATH, body)] * CLIENTS)
        )
        entry.check()

    def test_heartbeats_with_long_lists(self, site, agent):
        body = b'{"labels":[' + b'"",' * (MIB + MIB // 4) + b'""]}'
        payload = post_body(HEARTBEAT, body)
        close(run_crowd(agent, control(site), [payload] * 32))
        agent.check()


GREETING = b"\x00SP\x00" + struct.pack(">HH", 0x50, 0)


def bus_message(size, sent):
    return GREETING + struct.pack(">Q", size) + b"x" * sent


class TestBus:
    def test_messages_one_byte_short(self, site, entry):
        payload = bus_message(16 * MIB, 16 * MIB - 1)
        address = site.entries[0], site.bus
        close(run_crowd(entry, address, [payload] * 12))
        entry.check()

    def test_many_messages_within_the_size_one_byte_short(self, site, entry):
        payload = bus_message(2 * MIB, 2 * MIB - 1)
        address = site.entries[0], site.bus
        close(run_crowd(entry, address, [payload] * CLIENTS))
        entry.check()

    def test_connections_that_only_greet(self, site, entry):
        address = site.entries[0], site.bus
        close(run_crowd(entry, address, [GREETING] * CONNECTIONS))
        entry.check()


class TestCalm:
    def test_spec_of_4000_bytes_is_accepted_however_it_is_escaped(self, site):
        for number, text in enumerate(("x", "\\u0078", "\\n", "é", "\\u00e9")):
            size = len(text.encode().decode("unicode_escape").encode())
            if not text.startswith("\\"):
                size = len(text.encode())
            spec = text * (4000 // size)
            body = (
                f'{{"spec":"{spec}",'
                '"steps":[{"count":1,"cpu":500,"estimateMs":100}]}'
            ).encode()
            path = f"{platformsite.PREFIX}00000000000000c{number}"
            with socket.create_connection(callers(site)) as client:
                client.sendall(post_body(path, body))
                assert client.recv(4096).startswith(b"HTTP/1.1 200")
