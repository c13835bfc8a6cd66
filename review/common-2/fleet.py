"""Starts a small deployment of the project's programs on loopback addresses, with the commands of the deploy file: control
processes, entries, and a stand-in of the platform's list. Needs nothing but Python's standard library."""
import http.client
import http.server
import json
import os
import random
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = ROOT + "/target/release/mustardstack"

# A script that is told to stop ends the processes that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_ports(count):
    """Returns different ports: all of them are held until the last one is known."""
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        listener.bind(("127.0.0.1", 0))
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class Platform:
    """The platform's list of workers, on one page. It answers each call at once."""

    def __init__(self, ip):
        self.instances = []
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                body = json.dumps({"Instances": platform.instances, "Next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *_):
                pass  # A process that has ended.

        server = Server((ip, 0), Handler)
        self.address = f"{ip}:{server.server_port}"
        threading.Thread(target=server.serve_forever, daemon=True).start()


class Fleet:
    """The processes of the system. Addresses are 127.0.NET.x, so that two scripts at once don't collide."""

    def __init__(self, cores, fronts, net):
        if not os.access(BIN, os.X_OK):
            print(f"{BIN} is not built", file=sys.stderr)
            sys.exit(2)
        self.net = net
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.procs = {}
        self.core_ips = [f"127.0.{net}.{11 + i}" for i in range(cores)]
        self.front_ips = [f"127.0.{net}.{21 + i}" for i in range(fronts)]
        self.seeds = self.core_ips[:3]
        self.front_port, self.ready_port, self.control_port = free_ports(3)
        self.internal_port = random.randint(20000, 30000)
        self.platform = Platform(f"127.0.{net}.100")
        self.first = True

    def settings(self, ip, role):
        """Writes the settings file of a process as DEPLOY.md shows it, with the bounds of rotas-valle, and returns its path."""
        of_role = self.core_ips if role == "core" else self.front_ips
        zone = "valle-" + "abc"[of_role.index(ip) % 3]
        listen = {"Control": f"{ip}:{self.control_port}"}
        if role == "front":
            listen = {"Front": f"{ip}:{self.front_port}", "Ready": f"{ip}:{self.ready_port}"}
        folder = f"{self.tmp}/{ip}"
        os.makedirs(folder + "/data", exist_ok=True)
        bounds = {
            "SeedLagS": 3, "ReuseAfterS": 2, "ContactWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
            "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
            "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56, "RecoveryS": 12, "TransitMs": 120,
            "CacheWindowS": 10, "RequireFence": True, "LeaseMs": 3000, "ThawMs": 300,
        }
        settings = {
            "Node": f"{role}-{ip}", "Role": role, "MachineClass": role, "Serves": ["front" if role == "front" else "control"],
            "Ip": ip, "Zone": zone, "Region": "valle", "Zones": {"valle-a": "valle", "valle-b": "valle", "valle-c": "valle"},
            "Listen": listen, "InternalPorts": [self.internal_port, self.internal_port + 15],
            "Seeds": [f"{seed}:{self.control_port}" for seed in self.seeds], "Bootstrap": self.first,
            "CountTowardTolerance": role == "core",
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0,
                       "DiskMb": 128 if role == "core" else 0},
            "DataDir": folder + "/data" if role == "core" else None, "Discovery": "cloud", "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"],
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": bounds, "ConfigMode": "highest",
            "Cloud": {"Address": self.platform.address, "RatePerS": 44.0, "Duties": [], "LagMs": 800},
        }
        path = folder + "/boot.yaml"
        with open(path, "w") as file:
            json.dump(settings, file)  # JSON is YAML.
        return path

    def start(self, ip):
        self.start_with(ip, self.settings(ip, "core" if ip in self.core_ips else "front"))

    def start_with(self, ip, path):
        """Starts a process with a settings file that is there already."""
        environment = {"PATH": os.environ["PATH"], "HOME": self.tmp, "LANG": "C", "PEER_SECRET": "set-at-deployment",
                       "MUSTARDSTACK_NODE_FILE": path}
        with open(f"{self.tmp}/{ip}/log", "ab") as log:
            self.procs[ip] = subprocess.Popen([BIN, "join"], cwd=ROOT, env=environment, stdout=log, stderr=log)

    def start_all(self):
        for ip in self.core_ips + self.front_ips:
            self.start(ip)
        self.first = False

    def ended(self):
        """Returns the addresses of the processes that have ended."""
        return [ip for ip, process in self.procs.items() if process.poll() is not None]

    def kill(self, ip, number=signal.SIGKILL):
        self.procs[ip].send_signal(number)

    def stop(self):
        for process in self.procs.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)

    def call(self, ip, method, path, body=None):
        """A call of the operator, which follows a 307 twice. Returns the status, none without an answer, and the body."""
        host, port = ip, self.control_port
        try:
            for _ in range(3):
                connection = http.client.HTTPConnection(host, port, timeout=3)
                connection.request(method, path, body, {"Content-Type": "application/json"})
                response = connection.getresponse()
                content = response.read()
                connection.close()
                if response.status != 307:
                    break
                host, _, port = response.getheader("Location").split("/")[2].partition(":")
            return response.status, content
        except OSError as error:
            return None, str(error).encode()

    def publish(self, configuration, tries=60):
        """Sends a configuration to the control processes in turn until one acknowledges it."""
        body = json.dumps(configuration).encode()
        for number in range(tries):
            status, content = self.call(self.core_ips[number % len(self.core_ips)], "POST", "/Config.Replace", body)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                raise ValueError(content)
            time.sleep(0.2)
        return False

    def ready(self, wait_s=15):
        """Waits until all entries have said that they are ready."""
        end, ready = time.time() + wait_s, set()
        while time.time() < end and len(ready) < len(self.front_ips):
            for ip in self.front_ips:
                try:
                    connection = http.client.HTTPConnection(ip, self.ready_port, timeout=1)
                    connection.request("GET", "/ready")
                    if connection.getresponse().status == 200:
                        ready.add(ip)
                except OSError:
                    pass
            time.sleep(0.1)
        return len(ready) == len(self.front_ips)
