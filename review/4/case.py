"""A job that awaits finished jobs is submitted at a controller that has been restarted."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig_2  # noqa: E402

EARLIER = 12           # jobs that the last one awaits; README.md: up to 128
RESTART_DELAY_S = 6    # the brief: a controller is back about 6 s after an end
RESTARTED = 1


def case(rig):
    cluster = rig_2.cluster_settings()
    rig.start_state()
    workers = {}

    def power_on(machine):
        workers[machine["uid"]] = rig_2.Worker(rig, machine, cloud, cluster)

    cloud = rig_2.Cloud(rig, power_on, lambda m: workers[m["uid"]].end(), most=2)
    rig.prepare_controllers(cloud.port, cluster)
    rig.start_controllers()

    earlier = [f"run-{i + 1:06d}" for i in range(EARLIER)]
    for uid in earlier:
        if rig.submit(rig_2.job(uid, run_s=1.0)) not in (200, 201):
            raise rig_2.CannotRun(f"{uid} was not accepted")
        time.sleep(0.3)
    # The user of each job polls until it is done, and asks at each node.
    for uid in earlier:
        for i, name in enumerate(rig_2.NODES):
            rig.wait_for(f"{name} to say that {uid} is done",
                         lambda: rig.poll(uid, i)[1].get("signal") == "done", 40, 0.5)
    rig.log(f"users: each node says of each of {earlier[0]} to {earlier[-1]}: done")

    name = rig_2.NODES[RESTARTED]
    if rig.trouble:
        rig.kill(name)
        rig.log(f"{name} crashes")
        time.sleep(RESTART_DELAY_S)
        rig.start_controller(name)
        rig.log(f"{name} is started again")
        rig.wait_for(f"{name} to be healthy",
                     lambda: rig_2.request(rig.front(RESTARTED), "GET", "/up", None, 1)[0] == 200)
        time.sleep(5)

    last = rig_2.job("run-900000", run_s=1.0, awaits=earlier)
    until = time.monotonic() + 30
    while True:
        status, body = rig_2.request(rig.front(RESTARTED), "POST", "/v2/runs", last)
        rig.log(f"user: {name} answers the submission of run-900000, which awaits these jobs: "
                f"{status} {body}")
        if status in (200, 201, 400, 422) or time.monotonic() > until:
            break
        time.sleep(1)
    if status in (200, 201):
        rig.wait_for("the end of run-900000",
                     lambda: rig.poll("run-900000")[1].get("signal") == "done", 40, 0.5)
        rig.log("user: run-900000 is done")
        return True
    if status not in (400, 422):
        raise rig_2.CannotRun(f"the submission got no final answer: {status}")
    for i, node in enumerate(rig_2.NODES):
        said = sorted({rig.poll(uid, i)[1].get("signal") for uid in earlier})
        rig.log(f"user: {node} says of the jobs that run-900000 awaits: {said}")
    rig.log(f"user: asks about run-900000: {rig.poll('run-900000')}")
    return False


rig_2.run(HERE, case)
