"""Common parts of the cases of the second review: processes, state service, cloud and users.

Every address is on the loopback interface. The programs under test are started with the commands
of deploy/service.toml. The state service and the artifact store are the project's own stand-ins
(target/shunttrail-local); the cloud, the workers and the users are small ones of this file.
"""
import collections
import hashlib
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
HOST = "127.0.0.1"
NODES = ["railhead-0", "railhead-1", "railhead-2"]
ZONES = ["coimbra-vale", "lisboa-oriente", "porto-norte"]


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def encode(value):
    return json.dumps(value, separators=(",", ":")).encode()


def request(port, method, path, body=None, timeout=5.0):
    """Returns (status, parsed body); status 0 if there was no answer."""
    try:
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        data = body if body is None or isinstance(body, bytes) else encode(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read()
        connection.close()
    except OSError:
        return 0, None
    except http.client.HTTPException:
        return 0, None
    try:
        return answer.status, json.loads(text)
    except ValueError:
        return answer.status, text


class Server(http.server.ThreadingHTTPServer):
    """An HTTP/1.1 server; `answer(method, path, body)` returns (status, object)."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, port, answer):
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                status, value = outer.answer(self.command, self.path, body)
                text = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_GET = do_POST = do_DELETE = handle_any

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        self.answer = answer
        super().__init__((HOST, port), Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_):
        pass


class Rig:
    """One run: a temporary folder, the processes that it started, and the record."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="shunt-review-"))
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.children = {}
        self.servers = []
        self.controllers = {}
        self.at_end = []
        for program in ("shunttrail-controller", "shunttrail-agent", "shunttrail-local"):
            if not (TARGET / program).exists():
                raise CannotRun(f"target/{program} is missing: build first")
        self.log("trouble" if self.trouble else "no trouble (TROUBLE=0)")

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        with self.lock:
            self.record.write(f"{self.now():8.2f} {text}\n")
            self.record.flush()

    def spawn(self, name, words, env=None):
        out = open(self.dir / f"{name}.log", "ab")
        child = subprocess.Popen([str(w) for w in words], cwd=ROOT, stdin=subprocess.DEVNULL,
                                 stdout=out, stderr=out, env=env, start_new_session=True)
        out.close()
        self.children[name] = child
        return child

    def kill(self, name, how=signal.SIGKILL):
        child = self.children.get(name)
        if child and child.poll() is None:
            child.send_signal(how)
            if how == signal.SIGKILL:
                child.wait()

    def serve(self, port, answer):
        self.servers.append(Server(port, answer))
        return self.servers[-1]

    # ---- the services

    def start_state(self):
        self.state_port = free_port()
        (self.dir / "state").mkdir()
        self.spawn("state", [TARGET / "shunttrail-local", "state", "--listen",
                             f"{HOST}:{self.state_port}", "--file", self.dir / "state" / "log"])
        self.wait_for("the state service", lambda: request(self.state_port, "GET",
                                                           "/kv?starts=st/")[0] == 200)

    def start_depot(self):
        self.depot_port = free_port()
        self.spawn("depot", [TARGET / "shunttrail-local", "depot", "--listen",
                             f"{HOST}:{self.depot_port}", "--dir", self.dir / "depot"])
        self.wait_for("the depot", lambda: request(self.depot_port, "GET", "/depot/up")[0] == 200)

    def wait_for(self, what, is_true, seconds=20.0, every=0.1):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if is_true():
                return
            time.sleep(every)
        raise CannotRun(f"{what}: not within {seconds} s")

    # ---- the controllers

    def prepare_controllers(self, cloud_port, cluster, state_port=None):
        """Writes the settings of three controllers, in the form of the deployment page."""
        addresses = {name: (free_port(), free_port()) for name in NODES}
        self.controllers = {}
        for i, name in enumerate(NODES):
            front, internal = addresses[name]
            settings = {
                "host_name": name, "zone": ZONES[i],
                "front": f"{HOST}:{front}", "internal_addr": f"{HOST}:{internal}",
                "siblings": [{"host_name": other, "zone": ZONES[j],
                              "addr": f"{HOST}:{addresses[other][1]}"}
                             for j, other in enumerate(NODES) if other != name],
                "services": {"cloud": f"{HOST}:{cloud_port}",
                             "state": f"{HOST}:{state_port or self.state_port}"},
                "cluster": cluster,
            }
            file = self.dir / f"{name}.json"
            file.write_text(json.dumps(settings))
            self.controllers[name] = {"front": front, "internal": internal, "file": file}

    def start_controller(self, name):
        """The `run` of deploy/service.toml, with the settings file as its last argument."""
        command = [line.split('"')[1] for line in
                   (ROOT / "deploy" / "service.toml").read_text().splitlines()
                   if line.startswith("run")][0].split()
        env = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG", "info"))
        self.spawn(name, command + [self.controllers[name]["file"]], env)

    def start_controllers(self):
        for name in NODES:
            self.start_controller(name)
        self.wait_for("leaders of all shards", self.all_led, 30)

    def all_led(self):
        led = 0
        for name in NODES:
            status, metrics = request(self.controllers[name]["internal"], "GET", "/metrics", None, 1)
            if status == 200:
                led += len(metrics["desks"])
        return led >= len(NODES)

    def front(self, i=0):
        return self.controllers[NODES[i % len(NODES)]]["front"]

    # ---- users

    def submit(self, job, seconds=60.0):
        """Submits as the page says: repeated for up to 60 s until a final status."""
        until = time.monotonic() + seconds
        attempt = 0
        while True:
            status, body = request(self.front(attempt), "POST", "/v2/runs", job)
            attempt += 1
            if status in (200, 201, 400, 422) or time.monotonic() > until:
                self.log(f"user: submit {job['uid']} -> {status} {body}")
                return status
            time.sleep(1)

    def poll(self, uid, i=0):
        status, body = request(self.front(i), "GET", f"/v2/runs/{uid}", None, 2)
        return status, body

    def end(self):
        for name in NODES:
            self.kill(name)
        for action in self.at_end:
            try:
                action()
            except Exception as why:
                self.log(f"at the end: {why!r}")
        for child in list(self.children.values()):
            if child.poll() is None:
                child.kill()
        for child in list(self.children.values()):
            child.wait()
        for server in self.servers:
            server.shutdown()
            server.server_close()
        self.record.close()
        shutil.rmtree(self.dir, ignore_errors=True)


def cluster_settings(**changes):
    """The settings of the smaller deployment of the brief (three controllers)."""
    cluster = {
        "size": 3, "zones": ZONES,
        "teams": [{"name": "equipa-cam-00", "cpus": 24.0, "cpus_max": 56.0, "gpus": 0.0,
                   "gpus_max": 0.0},
                  {"name": "equipa-cam-01", "cpus": 24.0, "cpus_max": 56.0, "gpus": 0.0,
                   "gpus_max": 0.0},
                  {"name": "equipa-cam-02", "cpus": 24.0, "cpus_max": 56.0, "gpus": 0.0,
                   "gpus_max": 0.0}],
        "objectives": [],
        "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                    "cancel_s": 45.0},
        "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 6.0, "list_lag_s": 3.0},
        "quota": {"cpu_share": 0.16, "ram_mb": 104.0, "max_sockets": 2000},
        "clock_off_ms": 100.0,
    }
    cluster.update(changes)
    return cluster


def job(uid, team="equipa-cam-00", cars=1, **changes):
    spec = {"uid": uid, "consist": "gerber-check", "crew": team, "haul": "batch",
            "precedence": "standard", "cars": cars, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.8,
            "manifest": "img-01", "size_gb": 0.9, "stock_types": None, "yard": None,
            "same_place": False, "scatter": False, "borrowed_stock": True, "run_s": 25.0,
            "milepost_s": 0.0, "couple_s": 0.0, "due_s": None}
    spec.update(changes)
    return spec


class Cloud:
    """A cloud with one machine type. `power_on(machine)` and `power_off(machine)` act on it."""

    def __init__(self, rig, power_on, power_off, most=1, boot_s=1.0, cpus=8.0, mem_gb=16.0,
                 cache_gb=50.0, name="bancada-8"):
        self.rig, self.power_on, self.power_off = rig, power_on, power_off
        self.most, self.boot_s, self.type = most, boot_s, name
        self.cpus, self.mem_gb, self.cache_gb = cpus, mem_gb, cache_gb
        self.lock = threading.RLock()
        self.machines, self.charters, self.next = {}, {}, 1
        self.port = free_port()
        rig.serve(self.port, self.answer)

    def answer(self, method, path, body):
        if path == "/machine_types":
            return 200, {"stock_types": [{
                "name": self.type, "vcpus": self.cpus, "cards": 0.0, "mem_gb": self.mem_gb,
                "local_gb": self.cache_gb, "fetch_gb_per_s": 1.0, "hourly": 0.45,
                "market_price": 0.15, "startup_s": 30.0, "yards": ZONES}]}
        if path == "/rentals" and method == "POST":
            return self.rent(json.loads(body))
        if path == "/rentals/delete":
            return self.delete(json.loads(body)["engines"])
        if path.startswith("/rentals"):
            with self.lock:
                return 200, {"engines": [self.listed(m) for m in self.machines.values()],
                             "has_next": False}
        return 404, {}

    def listed(self, machine):
        return {"uid": machine["uid"], "address": machine["address"], "stock": self.type,
                "yard": machine["yard"], "borrowed_stock": machine["spot"],
                "signal": "running" if machine["up"] else "booting",
                "held_s": time.monotonic() - machine["at"]}

    def rent(self, wanted):
        with self.lock:
            if wanted["charter"] in self.charters:
                return 200, {"engines": self.charters[wanted["charter"]]}
            count = min(wanted["count"], self.most - len(self.machines))
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                uid = f"m-{self.next:06d}"
                self.next += 1
                machine = {"uid": uid, "yard": wanted["yard"], "spot": wanted["borrowed_stock"],
                           "port": free_port(), "at": time.monotonic(), "up": False}
                machine["address"] = f"{HOST}:{machine['port']}"
                self.machines[uid] = machine
                names.append(uid)
                threading.Timer(self.boot_s, self.boot, [machine]).start()
            self.charters[wanted["charter"]] = names
        self.rig.log(f"cloud: rented {names} in {wanted['yard']}")
        return 200, {"engines": names}

    def boot(self, machine):
        with self.lock:
            if machine["uid"] not in self.machines:
                return
            machine["up"] = True
        self.rig.log(f"cloud: {machine['uid']} is up")
        self.power_on(machine)

    def delete(self, names):
        for uid in names:
            with self.lock:
                machine = self.machines.pop(uid, None)
            if machine:
                self.power_off(machine)
                self.rig.log(f"cloud: {uid} is deleted")
        return 200, {}


class Agents:
    """The project's own agents as machines: one process each, with its tasks below it."""

    def __init__(self, rig, cluster, cache_gb=10):
        self.rig, self.cluster, self.cache_gb = rig, cluster, cache_gb
        self.cloud = None  # set by the case, which needs the agents to create the cloud

    def settings(self, machine):
        controllers = "".join(f'<controller name="{name}" address="{HOST}:{c["front"]}"/>'
                              for name, c in self.rig.controllers.items())
        workers = self.cluster["workers"]
        return (f"<shunt-agent><machine>{machine['uid']}</machine><type>{self.cloud.type}</type>"
                f"<zone>{machine['yard']}</zone><address>{machine['address']}</address>"
                f"<spot>{'true' if machine['spot'] else 'false'}</spot>"
                f"<cpus>{self.cloud.cpus}</cpus><gpus>0</gpus><mem-gb>{self.cloud.mem_gb}</mem-gb>"
                f"<report-s>{workers['report_s']}</report-s><lease-s>{workers['lease_s']}</lease-s>"
                f"<controllers>{controllers}</controllers>"
                f"<depot>{HOST}:{self.rig.depot_port}</depot><cache-gb>{self.cache_gb}</cache-gb>"
                "<disk-reserve-mb>1</disk-reserve-mb></shunt-agent>")

    def power_on(self, machine):
        folder = self.rig.dir / machine["uid"]
        folder.mkdir(exist_ok=True)
        settings = folder / "agent.xml"
        settings.write_text(self.settings(machine))
        self.rig.spawn(machine["uid"], [TARGET / "shunttrail-agent", "--settings", settings,
                                        "--dir", folder])

    def power_off(self, machine):
        """All that is on the machine ends with it."""
        self.rig.kill(machine["uid"])
        self.rig.spawn("end-" + machine["uid"], [TARGET / "shunttrail-agent", "end", "--dir",
                                                 self.rig.dir / machine["uid"]]).wait(10)

    def end(self):
        for machine in list(self.cloud.machines.values()):
            self.power_off(machine)


class Worker:
    """The worker of one machine, as the protocol page describes it. Its tasks are not processes."""

    def __init__(self, rig, machine, cloud, cluster, run_s=1.0, fetch_s=0.2):
        self.rig, self.machine, self.cloud = rig, machine, cloud
        self.report_s = cluster["workers"]["report_s"]
        self.lease_s = cluster["workers"]["lease_s"]
        self.run_s, self.fetch_s = run_s, fetch_s
        self.lock = threading.RLock()
        self.shift, self.waybill, self.staff = 1, 0, 0
        self.cars = collections.OrderedDict()
        self.lease_from = time.monotonic()
        self.due, self.last_sent, self.at_node = 0.0, -1.0, 0
        self.changed = True
        self.off = False
        self.kills = 0
        self.specs = {}
        self.server = Server(machine["port"], self.answer)
        threading.Thread(target=self.loop, daemon=True).start()

    # ---- tasks

    def advance(self):
        now = time.monotonic()
        if now - self.lease_from > self.lease_s:
            lost = [k for k, c in self.cars.items() if c["signal"] != "exited"]
            self.rig.log(f"worker {self.machine['uid']}: the lease of session {self.shift} has "
                         f"ended; {len(lost)} tasks are killed")
            self.kills += len(lost)
            self.cars.clear()
            self.shift += 1
            self.lease_from = now
            self.changed = True
        for key, car in self.cars.items():
            if car["signal"] == "pulling" and now >= car["at"] + self.fetch_s:
                car.update(signal="running", at=now)
                self.rig.log(f"worker {self.machine['uid']}: runs {key[0]} attempt {key[1]}")
                self.changed = True
            elif car["signal"] == "running" and now >= car["at"] + car["run_s"]:
                car.update(signal="exited", stop_cause="done", at=now)
                self.changed = True

    def execute(self, orders):
        for order in orders:
            key = (order["car"], order["departure"])
            car = self.cars.get(key)
            if order["order"] == "start" and car is None:
                busy = any(k[0] == key[0] and c["signal"] != "exited"
                           for k, c in self.cars.items())
                spec = self.specs.get(key[0].split("/")[0], {})
                new = {"signal": "pulling", "at": time.monotonic(),
                       "run_s": spec.get("run_s", self.run_s)}
                if busy:
                    new.update(signal="exited", stop_cause="in_use")
                self.cars[key] = new
                self.changed = True
            elif order["order"] == "halt" and car and car["signal"] != "exited":
                car.update(signal="exited", stop_cause="stopped", kept=False)
                self.changed = True
            elif order["order"] == "reap" and car and car["signal"] == "exited":
                del self.cars[key]
                self.changed = True

    def report(self):
        self.waybill += 1
        cars = []
        for (name, departure), car in self.cars.items():
            entry = {"car": name, "departure": departure, "signal": car["signal"]}
            if car["signal"] == "exited":
                entry["stop_cause"] = car["stop_cause"]
            cars.append(entry)
        return {"engine": self.machine["uid"], "address": self.machine["address"],
                "stock": self.cloud.type, "yard": self.machine["yard"],
                "borrowed_stock": self.machine["spot"], "shift": self.shift,
                "waybill": self.waybill, "staff": self.staff, "recall_s": None, "cars": cars}

    def answer(self, method, path, body):
        with self.lock:
            self.advance()
            if path == "/status":
                return 200, self.report()
            sent = json.loads(body)
            if "staff" not in sent or "shift" not in sent:
                return 400, {}
            if sent["staff"] < self.staff or sent["shift"] != self.shift:
                return 409, self.report()
            self.see_token(sent["staff"])
            self.execute(sent.get("orders", []))
            return 200, self.report()

    def see_token(self, staff):
        if staff > self.staff:
            self.staff = staff
            self.changed = True

    def end(self):
        """The machine is gone, and all that is on it."""
        with self.lock:
            self.off = True
            self.cars.clear()
        self.server.shutdown()
        self.server.server_close()

    # ---- reports

    def loop(self):
        nodes = list(self.rig.controllers)
        not_before = 0.0
        while not self.off:
            time.sleep(0.05)
            now = time.monotonic()
            with self.lock:
                self.advance()
                due = self.last_sent + 0.5 if self.changed else self.due
                if now < max(due, not_before):
                    continue
                self.changed = False
                report, shift = self.report(), self.shift
            self.last_sent = now
            self.due = now + self.report_s
            port = self.rig.controllers[nodes[self.at_node]]["front"]
            status, body = request(port, "POST", "/agent/beat", report, 4)
            self.on_answer(status, body, report, now, shift)
            if status == 200:
                not_before = 0.0
            elif status == 421 and isinstance(body, dict) and body.get("dispatcher") in nodes \
                    and nodes.index(body["dispatcher"]) != self.at_node:
                self.at_node = nodes.index(body["dispatcher"])
                not_before = time.monotonic()
                self.changed = True
            else:
                self.at_node = (self.at_node + 1) % len(nodes)
                not_before = time.monotonic() + 1
                self.changed = True

    def on_answer(self, status, body, report, sent_at, shift):
        with self.lock:
            self.advance()
            if status != 200 or time.monotonic() - sent_at > 4 or shift != self.shift:
                return
            if body.get("staff") is None or body["staff"] < self.staff:
                return
            self.lease_from = max(self.lease_from, sent_at)
            self.see_token(body["staff"])
            self.execute(body.get("orders", []))


class Depot:
    """A client of the artifact store: what users upload, and what tasks leave."""

    def __init__(self, port):
        self.port = port

    def put_blob(self, data):
        digest = hashlib.blake2b(data, digest_size=32).hexdigest()
        upload = os.urandom(16).hex()
        part = 128 * 1024
        for at in range(0, len(data), part):
            status, _ = request(self.port, "POST", f"/depot/parts/{upload}?at={at}",
                                data[at:at + part])
            if status != 200:
                raise CannotRun(f"the depot refuses a part: {status}")
        status, _ = request(self.port, "POST", f"/depot/blobs/{digest}?from={upload}", b"-")
        if status != 200:
            raise CannotRun(f"the depot refuses a blob: {status}")
        return digest

    def put_description(self, spec, command, image=None):
        value = {"job": spec, "command": command}
        if image:
            value["image"] = image
        status, _ = request(self.port, "POST", f"/depot/names/jobs/{spec['uid']}",
                            {"value": value, "version": 0, "part": 0})
        if status not in (200, 201):
            raise CannotRun(f"the depot refuses a description: {status}")

    def result(self, uid, task):
        status, body = request(self.port, "GET", f"/depot/names/results/{uid}/{task}")
        return body["value"] if status == 200 else None

    def text(self, digest):
        if not digest:
            return ""
        status, body = request(self.port, "GET", f"/depot/blobs/{digest}?at=0")
        return body.decode() if isinstance(body, bytes) else str(body)


def run(folder, case):
    """Runs `case(rig)`, which returns True if the rule held. Exits with 0, 1 or 2."""
    rig = None
    status = 2

    def stop(*_):
        raise CannotRun("it took too long")

    signal.signal(signal.SIGTERM, stop)
    try:
        rig = Rig(folder)
        held = case(rig)
        rig.log("the rule held" if held else "THE RULE WAS BROKEN")
        status = 0 if held else 1
    except CannotRun as why:
        print(f"the case could not run: {why}", file=sys.stderr)
        if rig:
            rig.log(f"the case could not run: {why}")
    except Exception as why:  # an error of the case says nothing about the rule
        print(f"the case could not run: {why!r}", file=sys.stderr)
        if rig:
            rig.log(f"the case could not run: {why!r}")
    finally:
        if rig:
            rig.end()
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
