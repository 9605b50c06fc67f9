"""A running task loses its image when its machine's agent is killed and started again."""
import io
import json
import os
import sys
import tarfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import rig  # noqa: E402

TEAMS = [{"name": "media-crew", "cpus": 8.0, "cpus_max": 16.0, "gpus": 0.0, "gpus_max": 0.0}]
# Images of 7 GB and a cache of 10 GB (the agent's default), both divided by 10,000.
CACHE_GB = 0.001
IMAGE_BYTES = 700000
TYPES = [{"name": "mixdesk-4", "vcpus": 4.0, "cards": 0.0, "mem_gb": 16.0, "local_gb": CACHE_GB,
          "fetch_gb_per_s": 1.0, "hourly": 0.68, "market_price": 0.19, "startup_s": 30.0,
          "yards": ["coimbra-vale", "lisboa-oriente", "porto-norte"]}]

# Reads a file of its image when it starts, and again for each of its steps.
SWEEP = r"""
echo "start $SHUNT_JOB $SHUNT_ATTEMPT $(cat "$SHUNT_IMAGE_DIR/model")" >>"$LEDGER"
for step in $(seq 1 24); do
  sleep 0.5
  model=$(cat "$SHUNT_IMAGE_DIR/model") || {
    echo "image-gone $SHUNT_JOB $SHUNT_ATTEMPT $step" >>"$LEDGER"
    echo "step $step: the image is gone"
    exit 3
  }
done
echo "end $SHUNT_JOB $SHUNT_ATTEMPT $model" >>"$LEDGER"
echo "complete with $model"
"""


def image(name):
    data = io.BytesIO()
    with tarfile.open(fileobj=data, mode="w", format=tarfile.PAX_FORMAT) as archive:
        for file, content in (("model", name.encode()), ("weights", os.urandom(IMAGE_BYTES))):
            info = tarfile.TarInfo(file)
            info.size = len(content)
            info.mode = 0o644
            archive.addfile(info, io.BytesIO(content))
    return data.getvalue()


def lines(path, word):
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [line for line in file.read().splitlines() if line.startswith(word + " ")]


def case(record, trouble):
    cluster = rig.Cluster(record, TEAMS, TYPES, most_machines=1, cache_gb=CACHE_GB)
    try:
        return play(cluster, record, trouble)
    finally:
        cluster.close()


def play(cluster, record, trouble):
    path = os.path.join(cluster.dir, "ledger")
    for i in range(3):
        cluster.start_controller(i)
    cluster.wait_for(lambda: cluster.leads(0, 0), 20, "the shard has no leader")
    jobs = []
    for number in (1, 2):
        name = "model-%d" % number
        digest = cluster.put_blob(image(name))
        jobs.append(cluster.job(number, "media-crew", ["bash", "-c", SWEEP], vcpus=2.0,
                                manifest=name, size_gb=0.00007, run_s=12.0, image=digest,
                                env={"LEDGER": path}))
    cluster.wait_for(lambda: len(lines(path, "start")) == 2, 30, "the two tasks do not start")
    time.sleep(2)
    if trouble:
        # The disruption: the agent dies while its tasks run, and is back after 2 s.
        with cluster.cloud.lock:
            machine = next(iter(cluster.cloud.machines.values()))
        record.line("trouble: SIGKILL to the agent of %s" % machine["name"])
        cluster.kill(machine["process"])
        time.sleep(2)
        machine["process"] = cluster.start_agent(machine)
    results = {}

    def over():
        for job in jobs:
            status, text = rig.request(cluster.depot_port, "GET", "/depot/names/results/%s/0" % job)
            if status == 200:
                results[job] = json.loads(text)["value"]
        return len(results) == 2

    cluster.wait_for(over, 50, "the tasks have no results")
    for job in jobs:
        cluster.wait_for(lambda: cluster.user("GET", "/v2/runs/" + job)[1]["signal"] == "done", 20,
                         job + " is not done", interval=1)
        result = results[job]
        status, output = rig.request(cluster.depot_port, "GET", "/depot/blobs/" + result["out"])
        record.line("%s: result %s, output %r" % (job, result, output))
    for line in lines(path, "start") + lines(path, "image-gone") + lines(path, "end"):
        record.line("ledger: " + line)
    gone = lines(path, "image-gone")
    return not gone, "%d of 2 running tasks lost their image; results: %s" % (
        len(gone), {job: results[job]["exit"] for job in jobs})


if __name__ == "__main__":
    sys.exit(rig.main(case, FOLDER))
