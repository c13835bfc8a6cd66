"""A core machine is removed without a signal, and another one loses its disk: see claim.txt."""
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from fleet import Fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "both", or one half of the trouble alone: "removal", "disk"; "later": the disk is lost 6 s after the removal.
VARIANT = os.environ.get("VARIANT", "both")
SUCCESSOR_RUNS_S = 10.0
GAP_S = {"later": 6.0}.get(VARIANT, 1.0)
BACK_AFTER_S = 1.0
CATCH_UP_S, RECOVERY_S = 4.0, 12.0
ASK_S = 24.0

record = []
start = time.monotonic()


def note(text):
    record.append(f"{time.monotonic() - start:8.3f} s  {text}")


def configuration(version):
    route = {"Name": "slot-swap", "Host": "h.example", "PathPrefix": f"/v{version}/", "Kind": "unsafe", "TimeoutMs": 600,
             "TargetLatencyMs": 100, "Priority": 2, "Service": "rota-app", "MaxAttempts": 1}
    service = {"Name": "rota-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": [route], "Services": [service], "Limits": limits}


def main():
    fleet = Fleet(cores=3, fronts=1, net=int(os.environ.get("NET", "19")))
    first, second, third = fleet.core_ips
    successor = f"127.0.{fleet.net}.14"
    try:
        fleet.start_all()
        if not fleet.publish(configuration(9)):
            note("the first configuration was not accepted")
            return 2
        note("version 9 is acknowledged")
        fleet.core_ips.append(successor)
        fleet.start(successor)
        note(f"the successor {successor} starts, with an empty disk")
        time.sleep(SUCCESSOR_RUNS_S)
        if not fleet.publish(configuration(12)):
            note("version 12 was not accepted")
            return 2
        note("version 12 is acknowledged")
        time.sleep(0.5)
        if TROUBLE and VARIANT != "disk":
            fleet.kill(first, signal.SIGKILL)
            fleet.procs[first].wait()
            note(f"{first} is removed for good, without SIGTERM; its successor has run for {SUCCESSOR_RUNS_S:.0f} s")
        time.sleep(GAP_S)
        if TROUBLE and VARIANT != "removal":
            fleet.kill(second, signal.SIGKILL)
            fleet.procs[second].wait()
            shutil.rmtree(f"{fleet.tmp}/{second}/data")
            note(f"{second} is killed and loses its disk")
            time.sleep(BACK_AFTER_S)
            fleet.start(second)
            note(f"{second} is back with an empty disk")
        time.sleep(CATCH_UP_S + RECOVERY_S)
        running = [ip for ip in fleet.core_ips if fleet.procs[ip].poll() is None]
        note(f"running: {running}")
        if not set(fleet.ended()) <= {first}:
            note("a process has ended by itself")
            return 2
        newest, statuses = 0, {}
        end = time.monotonic() + ASK_S
        while time.monotonic() < end:
            for ip in running:
                status, body = fleet.call(ip, "GET", "/Config.Describe")
                statuses[(ip, status)] = statuses.get((ip, status), 0) + 1
                if status == 200:
                    newest = max(newest, json.loads(body)["Version"])
            if newest >= 12:
                break
            time.sleep(0.4)
        note(f"read back: version {newest}; answers by machine and status: {statuses}")
        accepted = fleet.publish(configuration(20), tries=12)
        note(f"a further configuration is accepted: {accepted}")
        # CONFIG: read back, the configuration is older than the newest acknowledged version, or doesn't come.
        return 0 if newest >= 12 else 1
    except Exception as error:  # The case could not run.
        note(f"could not run: {error!r}")
        return 2
    finally:
        fleet.stop()
        with open(os.environ.get("RECORD", os.path.join(FOLDER, "record.txt")), "w") as file:
            file.write("\n".join(record) + "\n")
        shutil.rmtree(fleet.tmp, ignore_errors=True)


sys.exit(main())
