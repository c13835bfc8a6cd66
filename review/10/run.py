"""Slow readers during a planned stop: see claim.txt."""
import os
import shutil
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from fleet import Fleet  # noqa: E402

import signal  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 6
EVENTS = 80
EVENT_BYTES = 380
PAUSE_S = float(os.environ.get("PAUSE_S", "3.0"))
DEADLINE_MS = 8000
GRACE_S = 8.0

record = []
lock = threading.Lock()
start = time.monotonic()


def note(text):
    with lock:
        record.append(f"{time.monotonic() - start:8.3f} s  {text}")


class Worker:
    """A plain worker that answers each request with a stream of events, and never breaks off itself."""

    def __init__(self, ip, service, worker_id, zone):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, 0))
        self.socket.listen(64)
        self.id, self.service, self.zone = worker_id, service, zone
        self.address = f"{ip}:{self.socket.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {"Id": self.id, "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": 64, "State": "ready", "ColdRemainingMs": 0}

    def accept(self):
        while True:
            connection, _ = self.socket.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while reader.readline():
                headers = {}
                while line := reader.readline().decode("latin1").strip():
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                reader.read(int(headers.get("content-length", "0")))
                self.run(connection, headers["request-id"])
        except OSError as error:
            note(f"worker {self.id}: its connection to an entry failed: {error}")

    def run(self, connection, request_id):
        note(f"worker {self.id} runs {request_id}")
        head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: {self.id}.{request_id}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        connection.sendall(head.encode())
        for number in range(1, EVENTS + 1):
            connection.sendall(chunk(event(number)))
            time.sleep(0.01)
        connection.sendall(b"0\r\n\r\n")
        note(f"worker {self.id} has written the whole answer to {request_id}")


def event(number):
    text = f"id: {number}\ndata: "
    return (text + "x" * (EVENT_BYTES - len(text) - 2) + "\n\n").encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def unchunked(data):
    """Returns the bytes of the complete chunks."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size or b"0", 16)
        if length == 0 or len(data) < length + 2:
            break
        body, data = body + data[:length], data[length + 2:]
    return body


def client(number, address, results):
    request_id = f"{number:016x}"
    connection = socket.socket()
    # A client with a small window, as the users' machines have them.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    connection.settimeout(DEADLINE_MS / 1000)
    connection.connect(address)
    sent_at = time.monotonic()
    connection.sendall((f"POST /duty/q HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                        f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi").encode())
    note(f"client {number} has sent {request_id}")
    answer, has_paused, end = b"", False, "the end of the answer"
    try:
        while not answer.endswith(b"\r\n0\r\n\r\n"):
            if TROUBLE and answer and not has_paused:
                has_paused = True
                time.sleep(PAUSE_S)
            data = connection.recv(4096)
            if not data:
                end = "a closed connection"
                break
            answer += data
    except OSError as error:
        end = repr(error)
    connection.close()
    took_s = time.monotonic() - sent_at
    _, _, body = answer.partition(b"\r\n\r\n")
    body = unchunked(body)
    events = body.count(b"\n\n")
    is_whole = end == "the end of the answer" and body == b"".join(event(n) for n in range(1, EVENTS + 1))
    note(f"client {number}: {request_id} got {answer[:15]!r}, {events} of {EVENTS} events, {end} after {took_s:.2f} s, "
         f"whole={is_whole}")
    results[number] = (is_whole, took_s, answer[:12])


def configuration():
    route = {"Name": "duty-question", "Host": "h.example", "PathPrefix": "/duty/", "Kind": "streaming", "TimeoutMs": 8000,
             "TargetLatencyMs": 400, "Priority": 0, "Service": "app", "MaxAttempts": 1, "Resumable": False,
             "TargetGapMs": 200}
    service = {"Name": "app", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Tls": False}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": 5, "Routes": [route], "Services": [service], "Limits": limits}


def main():
    fleet = Fleet(cores=3, fronts=2, net=int(os.environ.get("NET", "17")))
    workers = [Worker(f"127.0.{fleet.net}.{31 + i}", "app", f"i-{i}", f"valle-{'abc'[i]}") for i in range(2)]
    fleet.platform.instances = [worker.entry() for worker in workers]
    try:
        fleet.start_all()
        if not (fleet.publish(configuration()) and fleet.ready()):
            note("the deployment did not become ready")
            return 2
        time.sleep(3.5)
        entry = fleet.front_ips[0]
        results = {}
        threads = [threading.Thread(target=client, args=(n, (entry, fleet.front_port), results)) for n in range(1, CLIENTS + 1)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        stopped_at = time.monotonic()
        fleet.kill(entry, signal.SIGTERM)
        note(f"SIGTERM to the entry {entry}")
        for thread in threads:
            thread.join()
        code = fleet.procs[entry].wait(GRACE_S + 2)
        note(f"the entry has ended by itself with {code}, {time.monotonic() - stopped_at:.2f} s after SIGTERM")
        # LOST: read whole, passed on to a worker, ended without a complete answer before its deadline.
        lost = [n for n, (is_whole, took_s, _) in results.items() if not is_whole and took_s < DEADLINE_MS / 1000 - 0.5]
        note(f"requests lost: {len(lost)} of {CLIENTS}")
        return 1 if lost else 0
    except Exception as error:  # The case could not run.
        note(f"could not run: {error!r}")
        return 2
    finally:
        fleet.stop()
        with open(os.environ.get("RECORD", os.path.join(FOLDER, "record.txt")), "w") as file:
            file.write("\n".join(record) + "\n")
        shutil.rmtree(fleet.tmp, ignore_errors=True)


sys.exit(main())
