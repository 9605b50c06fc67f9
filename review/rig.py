"""A small deployment on loopback: the project's controllers, agents, state service emulator and
artifact store as separate processes, and a cloud whose machines are agents.

Every process is started here and ended by its id. Python's standard library only.
"""
import hashlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TARGET = os.path.join(ROOT, "target")
LOOPBACK = "127.0.0.1"
MOST_S = 117  # a script that has not ended by then gives up


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


_taken = set()


def free_port():
    # Below the range of outgoing connections, so that no connection takes the port meanwhile.
    start = 12000 + os.getpid() * 61 % 15000
    for i in range(15000):
        port = 12000 + (start - 12000 + i) % 15000
        if port in _taken:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((LOOPBACK, port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise CannotRun("no free port")


def request(port, method, path, body=None, timeout=5):
    """Returns (status, text); status 0 if there is no answer."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (bytes, str)) else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write("%7.2f %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()

    def now(self):
        return time.monotonic() - self.began


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, value):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        try:
            self.wfile.write(data)
        except OSError:
            pass


class Server:
    def __init__(self, handler_class, **context):
        handler = type("Handler", (handler_class,), context)
        self.port = free_port()
        ThreadingHTTPServer.allow_reuse_address = True
        ThreadingHTTPServer.daemon_threads = True
        ThreadingHTTPServer.request_queue_size = 64
        self.http = ThreadingHTTPServer((LOOPBACK, self.port), handler)
        self.thread = threading.Thread(target=self.http.serve_forever, daemon=True)
        self.thread.start()

    def close(self):
        self.http.shutdown()
        self.http.server_close()


class CloudHandler(JsonHandler):
    cloud = None

    def do_GET(self):
        if self.path.startswith("/machine_types"):
            return self.reply(200, {"stock_types": self.cloud.types})
        if self.path.startswith("/rentals"):
            return self.reply(200, self.cloud.list(self.path))
        self.reply(404, {})

    def do_POST(self):
        body = json.loads(self.body())
        if self.path == "/rentals":
            return self.reply(*self.cloud.rent(body))
        if self.path == "/rentals/delete":
            return self.reply(*self.cloud.delete(body))
        self.reply(404, {})


class Cloud:
    """PROTOCOL, "Controller nodes -> cloud": a fixed number of machines, each an agent process."""

    def __init__(self, cluster, types, most, boot_s=1.0):
        self.cluster, self.types, self.most, self.boot_s = cluster, types, most, boot_s
        self.lock = threading.RLock()
        self.machines = {}
        self.by_charter = {}
        self.number = 0
        self.server = Server(CloudHandler, cloud=self)

    def rent(self, body):
        with self.lock:
            if body["charter"] in self.by_charter:
                return 200, {"engines": self.by_charter[body["charter"]]}
            count = min(body["count"], self.most - len(self.machines))
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                self.number += 1
                name = "m-%06d" % self.number
                machine = {"name": name, "type": body["stock"], "zone": body["yard"],
                           "spot": body["borrowed_stock"], "port": free_port(),
                           "rented": time.monotonic(), "state": "booting", "process": None}
                self.machines[name] = machine
                names.append(name)
                threading.Timer(self.boot_s, self.boot, [name]).start()
            self.by_charter[body["charter"]] = names
            self.cluster.record.line("cloud: rented %s by %s" % (names, body["charter"]))
            return 200, {"engines": names}

    def boot(self, name):
        with self.lock:
            machine = self.machines.get(name)
            if not machine or self.cluster.closing:
                return
            machine["process"] = self.cluster.start_agent(machine)
            machine["state"] = "running"

    def list(self, path):
        after = ""
        if "after=" in path:
            after = path.split("after=")[1].split("&")[0]
        with self.lock:
            engines = [{"uid": m["name"], "address": "%s:%d" % (LOOPBACK, m["port"]),
                        "stock": m["type"], "yard": m["zone"], "borrowed_stock": m["spot"],
                        "signal": m["state"], "held_s": time.monotonic() - m["rented"]}
                       for n, m in sorted(self.machines.items()) if n > after]
        return {"engines": engines, "has_next": False}

    def delete(self, body):
        with self.lock:
            for name in body["engines"]:
                machine = self.machines.pop(name, None)
                if machine:
                    self.cluster.record.line("cloud: deleting %s" % name)
                    self.cluster.end_agent(machine)
        return 200, {}

    def close(self):
        self.server.close()
        with self.lock:
            for machine in self.machines.values():
                self.cluster.end_agent(machine)
            self.machines = {}


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateHandler(JsonHandler):
    service = None

    def forward(self):
        body = self.body()
        refusal = self.service.refusal(self.path, body)
        if refusal:
            return self.reply(*refusal)
        connection = http.client.HTTPConnection(LOOPBACK, self.service.backend, timeout=65)
        try:
            connection.request(self.command, self.path, body or None)
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException):
            self.close_connection = True
            return None
        finally:
            connection.close()
        self.send_response(answer.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        try:
            self.wfile.write(data)
        except OSError:
            pass
        return None

    do_GET = do_POST = do_DELETE = forward


class StateService:
    """The state service's limits (PROTOCOL, "Limits and errors"; LATER.md of kit/change,
    "The upgrade"), in front of the project's emulator, which has no limits of its own here."""

    def __init__(self, record, backend, limits):
        self.record, self.backend = record, backend
        self.lock = threading.Lock()
        self.set_limits(limits)
        self.refused = 0
        self.server = Server(StateHandler, service=self)

    def set_limits(self, limits):
        with self.lock:
            self.limits = dict(limits)
            self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])

    def refusal(self, path, body):
        """Returns the answer to a request that the limits do not allow; None if they allow it."""
        with self.lock:
            if not self.requests.take(1):
                return 429, {}
            if path != "/commit":
                return None
            transaction = json.loads(body)
            writes = transaction.get("writes", [])
            if not self.writes.take(len(writes)):
                return 429, {}
            most = self.limits["value_kb"] * 1024
            for write in writes:
                if "set" not in write:
                    continue
                size = len(json.dumps(write["value"], separators=(",", ":"), ensure_ascii=False)
                           .encode())
                if size > most:
                    self.refused += 1
                    if self.refused <= 40 or self.refused % 50 == 0:
                        self.record.line("state: 400 to a transaction of %d changes: the value of "
                                         "%s has %d bytes (refusal %d)" %
                                         (len(writes), write["set"], size, self.refused))
                    return 400, {"error": "value too large"}
            if len(writes) > self.limits["txn_ops"] or \
                    len(transaction.get("guards", [])) > 4 * self.limits["txn_ops"] or \
                    len(body) > 65536:
                self.record.line("state: 400 to a transaction of %d changes" % len(writes))
                return 400, {"error": "transaction too large"}
        return None


class Cluster:
    def __init__(self, record, teams, types, most_machines, zones=("porto-norte", "lisboa-oriente",
                                                                   "coimbra-vale"),
                 workers=None, cache_gb=10, controllers=3, boot_s=1.0,
                 next_limits=None):
        self.record = record
        self.at_close = lambda: None
        self.closing = False
        self.processes = []
        self.dir = tempfile.mkdtemp(prefix="shunt-review-")
        os.mkdir(os.path.join(self.dir, "logs"))
        self.workers = workers or {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 50.0,
                                   "gang_peer_s": 8.0, "cancel_s": 45.0}
        self.cache_gb = cache_gb
        for program in ("shunttrail-controller", "shunttrail-agent", "shunttrail-local"):
            if not os.access(os.path.join(TARGET, program), os.X_OK):
                raise CannotRun("target/%s is missing" % program)
        self.cloud = self.state = None
        try:
            self.start_services(teams, types, most_machines, zones, controllers, boot_s,
                                next_limits)
        except BaseException:
            self.close()
            raise

    def start_services(self, teams, types, most_machines, zones, controllers, boot_s, next_limits):
        record = self.record
        self.state_port, self.depot_port = free_port(), free_port()
        self.limits = {"rps": 80.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 12}
        state = dict(self.limits)
        emulator_port = self.state_port
        if next_limits:
            state["next"] = next_limits
            emulator_port = free_port()
            self.state = StateService(record, emulator_port, self.limits)
            self.state_port = self.state.server.port
        self.spawn("state", [os.path.join(TARGET, "shunttrail-local"), "state", "--listen",
                             "%s:%d" % (LOOPBACK, emulator_port), "--file",
                             os.path.join(self.dir, "state", "log")])
        self.spawn("depot", [os.path.join(TARGET, "shunttrail-local"), "depot", "--listen",
                             "%s:%d" % (LOOPBACK, self.depot_port), "--dir",
                             os.path.join(self.dir, "depot")])
        self.cloud = Cloud(self, types, most_machines, boot_s)
        self.nodes = []
        for i in range(controllers):
            self.nodes.append({"name": "railhead-%d" % i, "zone": zones[i % len(zones)],
                               "front": free_port(), "internal": free_port(), "process": None})
        self.cluster_settings = {
            "size": controllers, "zones": list(zones), "teams": teams, "objectives": [],
            "workers": self.workers,
            "state": state,
            "cloud": {"rps": 6.0, "list_lag_s": 3.0},
            "quota": {"cpu_share": 0.16, "ram_mb": 104.0, "max_sockets": 2000},
            "clock_off_ms": 100.0}
        self.wait_for(lambda: request(self.state_port, "GET", "/kv/none")[0] == 404, 10,
                      "the state service does not answer")
        self.wait_for(lambda: request(self.depot_port, "GET", "/depot/up")[0] == 200, 10,
                      "the depot does not answer")

    # ---- processes

    def spawn(self, name, arguments, **options):
        log = open(os.path.join(self.dir, "logs", name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                   cwd=ROOT, start_new_session=True, **options)
        log.close()
        self.processes.append(process)
        self.record.line("started %s" % name)
        return process

    @staticmethod
    def kill(process):
        if process and process.poll() is None:
            try:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            process.wait()

    def start_controller(self, i):
        node = self.nodes[i]
        settings = {
            "host_name": node["name"], "zone": node["zone"],
            "front": "%s:%d" % (LOOPBACK, node["front"]),
            "internal_addr": "%s:%d" % (LOOPBACK, node["internal"]),
            "siblings": [{"host_name": n["name"], "zone": n["zone"],
                          "addr": "%s:%d" % (LOOPBACK, n["internal"])}
                         for n in self.nodes if n is not node],
            "services": {"cloud": "%s:%d" % (LOOPBACK, self.cloud.server.port),
                         "state": "%s:%d" % (LOOPBACK, self.state_port)},
            "cluster": self.cluster_settings}
        path = os.path.join(self.dir, node["name"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        # The `run` of deploy/service.toml, from the repository's root.
        node["process"] = self.spawn(
            node["name"], ["target/shunttrail-controller", "--tuning", "deploy/run.xml",
                           "--config", path], env=dict(os.environ, LOG_LEVEL="info"))

    def agent_dir(self, machine):
        return os.path.join(self.dir, "machines", machine["name"])

    def start_agent(self, machine):
        kind = next(t for t in self.cloud.types if t["name"] == machine["type"])
        home = self.agent_dir(machine)
        os.makedirs(home, exist_ok=True)
        controllers = "".join("<controller name='%s' address='%s:%d'/>" %
                              (n["name"], LOOPBACK, n["front"]) for n in self.nodes)
        path = os.path.join(self.dir, machine["name"] + ".xml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                "<shunt-agent><machine>%s</machine><type>%s</type><zone>%s</zone>"
                "<address>%s:%d</address><spot>%s</spot><cpus>%s</cpus><gpus>%s</gpus>"
                "<mem-gb>%s</mem-gb><report-s>%s</report-s><lease-s>%s</lease-s>"
                "<controllers>%s</controllers><depot>%s:%d</depot><cache-gb>%s</cache-gb>"
                "<disk-reserve-mb>0</disk-reserve-mb></shunt-agent>" %
                (machine["name"], machine["type"], machine["zone"], LOOPBACK, machine["port"],
                 "true" if machine["spot"] else "false", kind["vcpus"], kind["cards"],
                 kind["mem_gb"], self.workers["report_s"], self.workers["lease_s"], controllers,
                 LOOPBACK, self.depot_port, self.cache_gb))
        return self.spawn("agent-" + machine["name"],
                          [os.path.join(TARGET, "shunttrail-agent"), "--settings", path, "--dir",
                           home])

    def end_agent(self, machine):
        """The machine is gone, and all that is on it (docs/agent.md, "End a machine")."""
        self.kill(machine["process"])
        subprocess.run([os.path.join(TARGET, "shunttrail-agent"), "end", "--dir",
                        self.agent_dir(machine)], stdin=subprocess.DEVNULL,
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)

    def close(self):
        self.closing = True
        if self.cloud:
            self.cloud.close()
        if self.state:
            self.state.server.close()
        for process in reversed(self.processes):
            self.kill(process)
        self.at_close()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # ---- what the case waits for

    def wait_for(self, condition, seconds, why, interval=0.1):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(interval)
        raise CannotRun(why)

    def leader(self, shard):
        """Returns (node, token) of the shard's leader, as the state service holds it."""
        status, text = request(self.state_port, "GET", "/kv/st/o/%d" % shard)
        if status != 200:
            return None, 0
        entry = json.loads(text)
        return entry["value"]["node"], entry["stamp"]

    def leads(self, i, shard):
        """Whether the node serves the shard, by its own metrics."""
        status, text = request(self.nodes[i]["internal"], "GET", "/metrics")
        if status != 200:
            return False
        return any(desk.get("shard", desk.get("desk")) == shard
                   for desk in json.loads(text).get("desks", []))

    def metrics(self, i):
        status, text = request(self.nodes[i]["internal"], "GET", "/metrics")
        return json.loads(text) if status == 200 else {}

    # ---- users

    def user(self, method, path, body=None, tries=30):
        """A user's request through any node that answers, repeated as PROTOCOL says."""
        for attempt in range(tries):
            node = self.nodes[attempt % len(self.nodes)]
            status, text = request(node["front"], method, path, body)
            if status in (200, 201, 400, 404, 422):
                self.record.line("user: %s %s -> %d %s" % (method, path, status, text[:120]))
                return status, json.loads(text)
            time.sleep(1)
        raise CannotRun("%s %s: no final answer" % (method, path))

    def put_name(self, name, value):
        status, text = request(self.depot_port, "POST", "/depot/names/" + name, {"value": value})
        if status not in (200, 201):
            raise CannotRun("the depot refused %s: %d %s" % (name, status, text))

    def put_blob(self, data):
        digest = hashlib.blake2b(data, digest_size=32).hexdigest()
        upload = os.urandom(16).hex()
        at = 0
        while at < len(data):
            part = data[at:at + 65536]
            status, _ = request(self.depot_port, "POST",
                                "/depot/parts/%s?at=%d" % (upload, at), part)
            if status != 200:
                raise CannotRun("the depot refused a part")
            at += len(part)
        status, _ = request(self.depot_port, "POST", "/depot/blobs/%s?from=%s" % (digest, upload),
                            "-")
        if status != 200:
            raise CannotRun("the depot refused a blob")
        return digest

    def job(self, number, team, command, **fields):
        """A submission of PROTOCOL's form, and its description in the depot."""
        environment = fields.pop("env", {})
        image = fields.pop("image", "")
        job = {"uid": "run-%06d" % number, "consist": "review", "crew": team, "haul": "batch",
               "precedence": "standard", "cars": 1, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
               "manifest": "none", "size_gb": 0.1, "stock_types": None, "yard": None,
               "same_place": False, "scatter": False, "borrowed_stock": False, "run_s": 60.0,
               "milepost_s": 0.0, "couple_s": 0.0, "due_s": None}
        job.update(fields)
        job = {k: v for k, v in job.items() if v is not None}
        description = {"job": job, "command": command, "retry_exits": [75]}
        if environment:
            description["env"] = environment
        if image:
            description["image"] = image
        self.put_name("jobs/" + job["uid"], description)
        status, answer = self.user("POST", "/v2/runs", job)
        if status not in (200, 201):
            raise CannotRun("%s was refused: %d %s" % (job["uid"], status, answer))
        return job["uid"]

    def reports(self):
        """Returns {machine: worker's report} of all machines, from GET /status."""
        with self.cloud.lock:
            machines = [(m["name"], m["port"]) for m in self.cloud.machines.values()
                        if m["state"] == "running"]
        found = {}
        for name, port in machines:
            status, text = request(port, "GET", "/status", timeout=2)
            if status == 200:
                found[name] = json.loads(text)
        return found

    def where(self, task, signal_name="running"):
        """Returns the machine on which the task is in this state, and its attempt."""
        for name, report in self.reports().items():
            for car in report["cars"]:
                if car["car"] == task and car["signal"] == signal_name:
                    return name, car["departure"]
        return None


def main(case, folder):
    """Runs the case; it returns True if the rule held. Exit status: 0 held, 1 broken, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.line("TROUBLE=%d" % trouble)

    def give_up(number, frame):
        raise CannotRun("ended by signal %d" % number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(MOST_S)
    try:
        held, why = case(record, trouble)
    except Exception as error:  # whatever goes wrong here says nothing about the rule
        signal.alarm(0)
        record.line("the case could not run: %r" % error)
        print("the case could not run: %r" % error)
        return 2
    record.line(("held: " if held else "BROKEN: ") + why)
    print(("held: " if held else "BROKEN: ") + why)
    return 0 if held else 1
