"""Accepted jobs never run after the state service has lowered its limits."""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import rig  # noqa: E402

# The limits of kit/change/placafacil-sede-next.toml: those of its [state], and those of its fault
# `state_limits`, which the settings announce as state.next.
NEXT = {"rps": 80.0, "write_rps": 18.0, "value_kb": 2.0, "txn_ops": 4}
TEAMS = [{"name": "equipa-cam-0%d" % i, "cpus": c, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}
         for i, c in enumerate((6.0, 4.0, 2.0))]
ZONES = ["coimbra-vale", "lisboa-oriente", "porto-norte"]


def machine_type(name):
    return {"name": name, "vcpus": 8.0, "cards": 0.0, "mem_gb": 16.0, "local_gb": 50.0,
            "fetch_gb_per_s": 1.0, "hourly": 0.45, "market_price": 0.15, "startup_s": 30.0,
            "yards": ZONES}


# The cloud's catalogue, as large as those of public clouds.
NAMES = ["bancada-8"] + ["bancada-8-%02d" % i for i in range(1, 100)]
TYPES = [machine_type(name) for name in NAMES]
WAIT_S = 90


def case(record, trouble):
    cluster = rig.Cluster(record, TEAMS, TYPES, most_machines=2, next_limits=NEXT)
    try:
        return play(cluster, record, trouble)
    finally:
        cluster.close()


def stored(cluster, key):
    """Returns the stored value and its size in bytes; None if the key does not exist."""
    status, text = rig.request(cluster.state_port, "GET", "/kv/" + key)
    if status != 200:
        return None
    value = json.loads(text)["value"]
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


def large_job(cluster, number, needed, size):
    """Submits a job that may run on most of the cloud's types, and whose record has about `size`
    bytes, which is within the limit of value_kb."""
    fields = {"awaits": [needed], "vcpus": 1.0, "stock_types": [], "consist": "panel-layout"}

    def record_size():
        job = {"uid": "run-%06d" % number, "crew": "equipa-cam-00", "haul": "batch",
               "precedence": "standard", "cars": 1, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
               "manifest": "none", "size_gb": 0.1, "same_place": False, "scatter": False,
               "borrowed_stock": False, "run_s": 60.0, "milepost_s": 0.0, "couple_s": 0.0,
               "consist": fields["consist"], "stock_types": fields["stock_types"],
               "needs": needed[4:], "at": 1796364123.1234567}
        return len(json.dumps(job, separators=(",", ":")))

    for name in NAMES:
        fields["stock_types"].append(name)
        if record_size() > size:
            fields["stock_types"].pop()
            break
    fields["consist"] += "-" * (size - record_size())
    return cluster.job(number, "equipa-cam-00", ["true"], **fields)


def play(cluster, record, trouble):
    for i in range(3):
        cluster.start_controller(i)
    cluster.wait_for(lambda: all(cluster.leads(i, i) for i in range(3)), 20,
                     "the shards have no leaders")
    # A service keeps a machine with 7 free CPUs in use.
    cluster.job(1, "equipa-cam-00", ["sleep", "1000"], haul="service", vcpus=1.0, run_s=0.0)
    cluster.wait_for(lambda: cluster.where("run-000001/0"), 20, "the service does not run")

    needed = cluster.job(2, "equipa-cam-00", ["sleep", "4"], vcpus=1.0, run_s=4.0)
    large = large_job(cluster, 3, needed, int(NEXT["value_kb"] * 1024))
    others = [cluster.job(number, "equipa-cam-00", ["true"], awaits=[needed], vcpus=1.0)
              for number in (4, 5, 6)]
    record.line("%s waits; its record has %s bytes" % (large, stored(cluster, "st/w/" + large)))
    if trouble:
        # The disruption: the announced limits apply from now on.
        record.line("trouble: the state service lowers its limits to %s" % NEXT)
        cluster.state.set_limits(NEXT)
    waiting = [large] + others

    def signal_of(job):
        return cluster.user("GET", "/v2/runs/" + job)[1]["signal"]

    cluster.wait_for(lambda: signal_of(needed) == "done", 30, needed + " is not done", interval=0.5)
    done_at = time.monotonic()
    states = {}
    while time.monotonic() < done_at + WAIT_S + 1:
        states = {job: signal_of(job) for job in waiting if states.get(job) != "done"} | {
            job: "done" for job, state in states.items() if state == "done"}
        if all(state == "done" for state in states.values()):
            break
        time.sleep(5)
    waited = time.monotonic() - done_at
    reports = cluster.reports()
    for name, report in reports.items():
        record.line("report of %s: %s" % (name, report["cars"]))
    room = any(sum(car["signal"] != "exited" for car in report["cars"]) < 8
               for report in reports.values())
    left = [job for job in waiting if states[job] == "queued"]
    if left and not room:
        raise rig.CannotRun("no machine has room")
    record.line("%d transactions were refused as too large" % cluster.state.refused)
    return not left, ("%.0f s after the job that they need was done, %d of %d jobs are still queued "
                      "beside a machine with room: %s" % (waited, len(left), len(waiting), left))


if __name__ == "__main__":
    sys.exit(rig.main(case, FOLDER))
