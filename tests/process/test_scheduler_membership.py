"""Schedulers form a cluster from seed addresses alone: in any start order, with a
fourth scheduler that is no seed, after the loss of a disk at the same address, and
with a replacement at another address. Guards against a scheduler that does not join,
a cluster that stops serving after a loss, a task that is started twice and a
configuration that reverts to an older version.

Usage: test_scheduler_membership.py FOLDER_OF_PROGRAMS FOLDER
"""

import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import SiteDeployment, reserve_net  # noqa: E402

SEEDS = [1, 2, 3]
GATEWAY = 9
# Time without contact after which a new replica takes the place of a voter, with some
# margin.
REPLACEMENT_S = 6


def voters(deployment):
    members = deployment.run_ctl(4, 'schedule', 'members')['members']
    return {member['name'] for member in members if member['voter']}


def run(deployment):
    # The seeds start last and in reverse order.
    deployment.start_gateway(GATEWAY, SEEDS)
    deployment.start_endpoint(10, [4, 1, 2, 3, 5])
    deployment.start_scheduler(4, SEEDS, True)
    for index in (3, 2, 1):
        time.sleep(0.3)
        deployment.start_scheduler(index, SEEDS, True)
    deployment.configure(1, [4])
    deployment.run_job(GATEWAY)

    # One address of this seed list has no process; the others are sufficient.
    deployment.kill('scheduler-1')
    deployment.wipe(1)
    deployment.run_job(GATEWAY)
    deployment.start_scheduler(1, [4, 2, 7], False)
    deployment.configure(5, [1, 2])
    # Three of the four vote. The spare has taken the place of the wiped scheduler 1,
    # which is a spare now.
    time.sleep(REPLACEMENT_S)
    deployment.kill('scheduler-2')
    deployment.run_job(GATEWAY)

    # A spare takes the place of scheduler 2, and scheduler 5 that of scheduler 3.
    deployment.start_scheduler(5, [1, 3], False)
    time.sleep(REPLACEMENT_S)
    deployment.kill('scheduler-3')
    deployment.run_job(GATEWAY)
    deployment.configure(3, [1, 4, 5])
    for index in (1, 4, 5):
        wait_until(lambda: deployment.read_version(index) == 5,
                   'reading version 5 at scheduler %d' % index)
    deployment.check_started_once()
    status = deployment.run_ctl(4, 'schedule', 'status')
    if status['configuration'] != 5:
        raise StepError('expected configuration 5 from the tool, got %s' % status)
    wait_until(lambda: voters(deployment) == {deployment.ip(index) for index in (1, 4, 5)},
               'the voters 1, 4 and 5 and no other', REPLACEMENT_S + 4)

    codes = deployment.group.terminate(['gateway-%d' % GATEWAY] + ['scheduler-%d' % index
                                                                   for index in (1, 4, 5)])
    if any(codes[name] != 0 for name in codes if name.startswith('gateway')):
        raise StepError('expected exit code 0 from the gateways, got %s' % codes)


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
    print('membership from seeds: wiped and replaced schedulers joined, %d jobs' % deployment.jobs)
    return 0


if __name__ == '__main__':
    sys.exit(main())
