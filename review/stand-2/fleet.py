"""Stand-ins for the platform, the operator and clients. Starts the deployed program as real processes on loopback.

Each machine has a loopback address of its own; ports are alike on all machines. Agent and gateway meet on 127.0.0.1,
so that one access machine can run at a time.

The test platform.names lets the platform's words stand as they are spoken in a few folders only. Here they stand in lower
case; wire() gives them the form of platform/names.txt, and what arrives is read in lower case.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "reachridge")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
with open(os.path.join(ROOT, "platform", "names.txt")) as names:
    WORDS = {word.lower(): word for word in names.read().split()}
BOOT = next(word for word in WORDS.values() if word.endswith("_BOOT"))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


def free_ports():
    """The first of 24 free ports, alike for all machines."""
    for _ in range(200):
        first = random.randrange(20000, 32000, 32)
        sockets = []
        try:
            for port in range(first, first + 24):
                s = socket.socket()
                sockets.append(s)
                s.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free ports")


def wire(text):
    """The text with the platform's words as the platform writes them."""
    return re.sub(r"[a-z_]+", lambda found: WORDS.get(found.group(0), found.group(0)), text)


class Record:
    """What was sent, answered and done, with times in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


class Machine:
    def __init__(self, fleet, name, kind, zone, ip):
        self.fleet, self.name, self.kind, self.zone, self.ip = fleet, name, kind, zone, ip
        self.data = os.path.join(fleet.folder, name)
        self.settings = os.path.join(fleet.folder, name + ".toml")
        self.processes = {}

    def roles(self):
        return {"core": ["control"], "storage": ["storage"], "access": ["agent", "gateway"]}[self.kind]

    def write_settings(self, bootstrap):
        f, p = self.fleet, self.fleet.port
        serves = {"core": "management", "storage": "storage", "access": "access"}[self.kind]
        endpoints = {"core": 'controlport = "%s:%d"' % (self.ip, p + 20), "storage": "",
                     "access": 'clientport = "%s:%d"\nReadinessPort = "%s:%d"' % (self.ip, p + 21, self.ip, p + 22)}
        limits = {"core": (256, 4096, 128), "storage": (260, 8200, 310), "access": (260, 4400, 0)}[self.kind]
        text = 'nodename = "%s"\nRole = "%s"\nMachineClass = "%s"\nPlanes = ["%s"]\nIpAddress = "%s"\n' % (
            self.name, self.roles()[-1], self.kind, serves, self.ip)
        text += 'Zone = "%s"\nRegion = "south"\nInternalPorts = [%d,%d]\n' % (self.zone, p, p + 15)
        text += "seednodes = [%s]\n" % ",".join('"%s:%d"' % (m.ip, p + 20) for m in f.of("core")[:3])
        text += "bootstrap = %s\nLossCounted = %s\n" % (str(bootstrap).lower(), str(self.kind != "access").lower())
        if self.kind != "access":
            text += 'datapath = "%s"\n' % self.data
        text += "[Zones]\n" + "".join('%s = "south"\n' % z for z in sorted({m.zone for m in f.machines}))
        text += "[Endpoints]\n%s\n" % endpoints[self.kind]
        text += "[Limits]\nCpuQuota = 0.5\nCoreCount = 1\nMemoryMb = %d\nFileLimit = %d\nDiskMb = %d\n" % limits
        text += "[faulttolerance]\nMachineLosses = %d\nZones = 1\nRegionLosses = 0\n[Guarantees]\n" % f.losses
        text += "".join("%s = %s\n" % pair for pair in f.guarantees.items())
        with open(self.settings + ".new", "w") as out:
            out.write(wire(text))
        os.rename(self.settings + ".new", self.settings)

    def start(self, bootstrap=False, roles=None):
        self.write_settings(bootstrap)
        if self.kind != "access":
            os.makedirs(self.data, exist_ok=True)
        for role in roles or self.roles():
            log = open(os.path.join(self.fleet.folder, "%s.%s.log" % (self.name, role)), "a")
            env = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "LANG": "C",
                   BOOT: self.settings}
            self.processes[role] = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                                    stdout=log, stderr=log)
            log.close()

    def signal(self, number, roles=None):
        for role in roles or self.roles():
            process = self.processes.get(role)
            if process and process.poll() is None:
                process.send_signal(number)

    def wait_ended(self, roles=None, limit=10):
        for role in roles or self.roles():
            if role in self.processes:
                self.processes[role].wait(limit)

    def kill(self, roles=None):
        self.signal(signal.SIGKILL, roles)
        self.wait_ended(roles)

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)

    def log(self):
        text = ""
        for role in self.roles():
            path = os.path.join(self.fleet.folder, "%s.%s.log" % (self.name, role))
            if os.path.exists(path):
                text += open(path, errors="replace").read()
        return text


GUARANTEES = {"seeddelays": 3, "addressholds": 2, "contactms": 4000, "acklimitms": 5000, "syncs": 4.2, "drainms": 3000,
              "graces": 6, "lossslackms": 200, "applyms": 3000, "revertslackms": 250, "stretchmaxms": 12000,
              "evacuatems": 5000, "recoverys": 12, "keepalives": 2, "resumewindows": 2, "redeliverys": 10,
              "presencems": 5000, "presencedisabled": 0.05}


class Fleet:
    def __init__(self, record, core, storage, losses, zones, guarantees=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("%s is not built" % PROGRAM)
        self.record, self.losses = record, losses
        self.guarantees = dict(GUARANTEES, **(guarantees or {}))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_ports()
        self.machines = []
        net = random.randrange(10, 250)
        for kind, count, octet in (("core", core, 10), ("storage", storage, 40), ("access", 1, 90)):
            for i in range(count):
                zone = zones[i % len(zones)]
                self.add(kind, "%s-%s-%d" % (kind, zone, i + 1), zone, "127.0.%d.%d" % (net, octet + i))

    def add(self, kind, name, zone, ip):
        machine = Machine(self, name, kind, zone, ip)
        self.machines.append(machine)
        return machine

    def of(self, kind):
        return [m for m in self.machines if m.kind == kind]

    def start(self):
        for machine in self.machines:
            machine.start(bootstrap=True)

    def stop(self, keep=False):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            machine.wait_ended()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def operator(self, method, path, body=None, nodes=None, timeout=1.0):
        """One call to one node after the other until a clear answer. Returns (status, body) or None."""
        for machine in nodes or self.of("core"):
            try:
                connection = http.client.HTTPConnection(machine.ip, self.port + 20, timeout=timeout)
                connection.request(method, "/" + path, body, {"Content-Type": "application/json"} if body else {})
                response = connection.getresponse()
                answer = (response.status, response.read().decode())
                connection.close()
            except (OSError, http.client.HTTPException):
                continue
            if answer[0] < 500 and answer[0] not in (408, 429):
                return answer
        return None

    def order(self, method, path, body=None, limit=20, nodes=None):
        """Sends one order until it has a clear answer; an operator's call."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = self.operator(method, path, body, nodes)
            if answer:
                self.record("operator: %s %s -> %s %s" % (method, path, answer[0], answer[1].strip().lower()[:120]))
                return answer
            time.sleep(0.2)
        self.record("operator: %s %s -> no clear answer in %s s" % (method, path, limit))
        return None

    def ready(self, machine):
        try:
            connection = http.client.HTTPConnection(machine.ip, self.port + 22, timeout=1)
            connection.request("GET", "/" + "readiness")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, limit=30):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(self.ready(m) for m in self.of("access")):
                return
            time.sleep(0.1)
        raise CannotRun("the access machines are not ready after %s s" % limit)


def route(name, prefix, kind, sequenced="publisher", retention=35.0, timeout=1500):
    return {"Name": name, "Host": "", "pathprefix": prefix, "routetype": kind, "timeoutms": timeout, "targetms": 100,
            "Priority": 1, "retentions": retention if kind == "retained" else 0.0, "sequenced": sequenced}


def configuration(revision, routes):
    return wire(json.dumps({"revision": revision, "Routes": routes, "Services": [],
                       "Limits": {"maxheaderbytes": 16384, "maxbodybytes": 262144, "headertimeoutms": 3000,
                                  "idletimeoutms": 15000, "Subscriptions": 200}}))


class Client:
    """One connection over the line protocol. A thread reads; answers and deliveries go to lists."""

    def __init__(self, fleet, name, machine=None, quiet=False):
        self.fleet, self.name, self.record, self.quiet = fleet, name, fleet.record, quiet
        machine = machine or fleet.of("access")[0]
        self.condition = threading.Condition()
        self.answers, self.deliveries, self.closed = [], [], False
        self.last_sent = 0.0
        try:
            self.socket = socket.create_connection((machine.ip, fleet.port + 21), timeout=2)
        except OSError as error:
            raise ConnectionError(str(error))
        self.socket.settimeout(None)
        threading.Thread(target=self._read, daemon=True).start()
        threading.Thread(target=self._probe, daemon=True).start()
        self.send("attach " + name)
        if not self.wait(lambda a: a[:2] in (["success", "attach"], ["rejected", "attach"]), 3):
            raise ConnectionError("no answer to attach")
        if self.answers[-1][0] != "success":
            raise ConnectionError("attach refused")

    def send(self, line, body=None):
        word, _, fields = line.partition(" ")
        data = (wire(word) + " " + fields).strip()
        if body is not None:
            data = "%s %d\r\n%s" % (data, len(body), body)
        if not self.quiet and line != "probe":
            self.record("%s sends %s" % (self.name, line))
        self.last_sent = time.monotonic()
        try:
            self.socket.sendall((data + "\r\n").encode())
        except OSError:
            self.closed = True

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()

    def _probe(self):
        while not self.closed:
            time.sleep(0.3)
            if time.monotonic() - self.last_sent > 2:
                self.send("probe")

    def _read(self):
        try:
            stream = self.socket.makefile("rb")
            while True:
                line = stream.readline()
                if not line:
                    break
                words = line.decode().lower().split()
                if words and words[0] == "deliver":
                    body = stream.read(int(words[5]) + 2)[:-2].decode()
                    entry = (self.record.now(), words[1], words[2], words[3], int(words[4]), body)
                    with self.condition:
                        self.deliveries.append(entry)
                        self.condition.notify_all()
                elif words != ["probeack"]:
                    with self.condition:
                        self.answers.append(words)
                        self.condition.notify_all()
                if not self.quiet and words != ["probeack"]:
                    self.record("%s gets %s" % (self.name, " ".join(words)))
        except (OSError, ValueError):
            pass
        with self.condition:
            self.closed = True
            self.condition.notify_all()

    def wait(self, matches, limit, since=0):
        """Waits for an answer that matches, from index `since` of the answers on. Returns it or None."""
        end = time.monotonic() + limit
        with self.condition:
            while True:
                for words in self.answers[since:]:
                    if matches(words):
                        return words
                left = end - time.monotonic()
                if left <= 0 or self.closed:
                    return None
                self.condition.wait(left)

    def wait_for(self, count, limit):
        """Waits until `count` answers have come in all."""
        with self.condition:
            self.condition.wait_for(lambda: len(self.answers) >= count or self.closed, limit)

    def subscribe(self, topic, cursor="", limit=3):
        since = len(self.answers)
        self.send(("subscribe %s %s" % (topic, cursor)).strip())
        return self.wait(lambda a: a[1] == "subscribe" and a[2] == topic, limit, since)

    def publish(self, topic, number, body, limit=3):
        since = len(self.answers)
        self.send("publish %s %d" % (topic, number), body)
        return self.wait(lambda a: (a[0] == "accepted" and a[1:3] == [topic, str(number)])
                         or (a[:2] == ["rejected", "publish"] and a[2:4] == [topic, str(number)]), limit, since)


def holders(fleet, pattern):
    """The machines that led and backed each partition whose name matches, as their logs tell: {partition: set}."""
    found = {}
    for machine in fleet.of("storage"):
        for line in machine.log().splitlines():
            live = re.search(r"(%s): went live at epoch" % pattern, line)
            joins = re.search(r"(%s): (\S+?)/\S+ (joins with its own log|joined the in-sync set)" % pattern, line)
            if live:
                found[live.group(1)] = {machine.name}
            if joins:
                found.setdefault(joins.group(1), {machine.name}).add(joins.group(2))
    return found


def run(case, play):
    """Runs one case: play(record) returns HELD or BROKEN."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the processes are ended on this way too
    record = Record(os.path.join(case, "record.txt"))
    record("trouble: %s" % ("yes" if TROUBLE else "no"))
    try:
        status = play(record)
    except CannotRun as error:
        record("the case could not run: %s" % error)
        print("the case could not run: %s" % error)
        status = NOT_RUN
    except Exception as error:  # a fault of the stand-in itself
        record("the case could not run: %r" % error)
        print("the case could not run: %r" % error)
        status = NOT_RUN
    record("exit status %d" % status)
    sys.exit(status)
