"""All seeds are schedulers without a disk, are killed at once and have forgotten the
replicas, while the leader goes on or is killed as well; then each gateway is restarted,
and a replica at a new address is started. Guards against gateways that refuse every
request, and operators' calls that no seed redirects, because nobody tells the seeds of
the leader.

Usage: test_restarted_seeds.py FOLDER_OF_PROGRAMS FOLDER
"""

import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import PREFIX, SiteDeployment, reserve_net  # noqa: E402

REPLICAS, SEEDS, SPARE = [1, 2, 3], [4, 5, 6], 7
GATEWAYS = [21, 22, 23]
ENDPOINT = 10
DOWN_S = 1.1
# A linked process knows the leader within 3 s; links are opened again within 1 s.
DISCOVERY_S = 4
RECOVERY_S = 12


def start_scheduler(deployment, index, seeds, founding=False):
    deployment.start_scheduler(index, seeds, founding, has_disk=index not in SEEDS)


def leader(deployment):
    """Returns the index of the leader according to a replica that answers, or None."""
    for index in REPLICAS:
        try:
            address = deployment.run_ctl(index, 'schedule', 'status')['leader']
        except (StepError, KeyError):
            continue
        if address:
            return int(address.split(':')[0].split('.')[-1])
    return None


def restart_seeds(deployment, others):
    indices = SEEDS + others
    for index in indices:
        deployment.kill('scheduler-%d' % index)
    time.sleep(DOWN_S)
    for index in indices:
        start_scheduler(deployment, index, SEEDS)


def check_served(deployment, version, limit):
    for gateway in GATEWAYS:
        deployment.kill('gateway-%d' % gateway)
        deployment.start_gateway(gateway, SEEDS)
        time.sleep(1)
    for gateway in GATEWAYS:
        wait_until(lambda: deployment.gateway_request(gateway, 'GET', PREFIX)[0] == 200,
                   'answer of gateway %d' % gateway, limit)
        deployment.run_job(gateway)
    for seed in SEEDS:
        wait_until(lambda: deployment.replace_configuration(version, seed) == 200,
                   'configuration %d at seed %d' % (version, seed), limit)


def run(deployment):
    for index in REPLICAS + SEEDS:
        start_scheduler(deployment, index, REPLICAS, founding=True)
    for gateway in GATEWAYS:
        deployment.start_gateway(gateway, REPLICAS)
    deployment.start_endpoint(ENDPOINT, REPLICAS)
    deployment.configure(1, REPLICAS)
    deployment.run_job(GATEWAYS[0])
    for index in REPLICAS + SEEDS:
        deployment.kill('scheduler-%d' % index)
        start_scheduler(deployment, index, SEEDS)
        time.sleep(2)
    deployment.run_job(GATEWAYS[0])

    restart_seeds(deployment, [])
    check_served(deployment, 2, DISCOVERY_S)
    restart_seeds(deployment, [leader(deployment)])
    check_served(deployment, 3, RECOVERY_S)

    restart_seeds(deployment, [])
    start_scheduler(deployment, SPARE, SEEDS)
    wait_until(lambda: deployment.read_version(SPARE) == 3, 'version 3 at the new replica',
               RECOVERY_S)
    deployment.check_started_once()


def main():
    programs, folder = sys.argv[1:]
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 200) as group:
        deployment = SiteDeployment(programs, folder, reserve_net(), group)
        try:
            run(deployment)
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(12), file=sys.stderr)
            return 1
    print('restarted seeds: the leader was found, %d jobs' % deployment.jobs)
    return 0


if __name__ == '__main__':
    sys.exit(main())
