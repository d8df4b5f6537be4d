"""The disks of the schedulers are full for 4 s each, one after another and never two at
once: in each order of three voters, then always that of the leader, also while a fourth
scheduler joins. Guards against a scheduler that exits instead of repeating the refused
write, and against a state that outlives the fault: changes that are refused or stay
unanswered although every disk has room again.

A disk is made full through the limit of the file size, which can be lowered and raised
while the process runs. Lowering it to zero refuses every write; lowering it to a few
bytes above the active segment refuses a part of a write.

Usage: test_full_disks.py FOLDER_OF_PROGRAMS FOLDER
"""

import itertools
import pathlib
import resource
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import PipedProcess, ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import SiteDeployment, reserve_net  # noqa: E402

SEEDS = [1, 2, 3]
JOINING = 4
GATEWAY = 9
FULL_S = 4.0
# Operators expect the acknowledgement of a change within this time.
ACKNOWLEDGEMENT_S = 5.0
FREE_BYTES = 40


class FullDisks:
    def __init__(self, deployment):
        self.deployment = deployment
        self.schedulers = list(SEEDS)
        self.version = 0
        self.slowest_s = 0.0

    def pid(self, index):
        return self.deployment.group.processes['scheduler-%d' % index].child.pid

    def set_limit(self, index, soft):
        _, hard = resource.prlimit(self.pid(index), resource.RLIMIT_FSIZE)
        resource.prlimit(self.pid(index), resource.RLIMIT_FSIZE, (soft, hard))

    def largest_segment(self, index):
        folder = self.deployment.folder / ('data-%d' % index)
        return max(file.stat().st_size for file in folder.glob('segment-*'))

    def leader(self):
        """Returns the scheduler that answers a read itself, or None."""
        for index in self.schedulers:
            status, _ = self.deployment.request(self.deployment.control_address(index), 'GET',
                                                '/-/config/read', redirects=0)
            if status == 200:
                return index
        return None

    def change(self, first):
        """Replaces the configuration at any scheduler until it is acknowledged."""
        self.version += 1
        begin = time.monotonic()
        targets = itertools.cycle([first] + [i for i in self.schedulers if i != first])
        while self.deployment.replace_configuration(self.version, next(targets)) != 200:
            if time.monotonic() - begin >= ACKNOWLEDGEMENT_S:
                break
            time.sleep(0.1)
        elapsed = time.monotonic() - begin
        self.slowest_s = max(self.slowest_s, elapsed)
        if elapsed >= ACKNOWLEDGEMENT_S:
            raise StepError('change %d was not acknowledged within %.1f s'
                            % (self.version, ACKNOWLEDGEMENT_S))

    def fill(self, index, is_partial, during=lambda: None):
        """Makes a disk full for FULL_S, with a change and a job meanwhile."""
        free = self.largest_segment(index) + FREE_BYTES if is_partial else 0
        self.set_limit(index, free)
        end = time.monotonic() + FULL_S
        during()
        time.sleep(0.5)
        self.change(index)
        self.deployment.run_job(GATEWAY)
        time.sleep(max(0.0, end - time.monotonic()))
        self.set_limit(index, resource.RLIM_INFINITY)
        self.deployment.group.check_all_running()

    def check_refused(self):
        for index in SEEDS:
            log = (self.deployment.folder / ('scheduler-%d.log' % index)).read_text()
            if 'event=storage_failed' not in log:
                raise StepError('no write of scheduler %d was refused' % index)

    def join(self):
        self.deployment.start_scheduler(JOINING, SEEDS, False)
        self.schedulers.append(JOINING)

    def run(self):
        deployment = self.deployment
        for index in SEEDS:
            deployment.start_scheduler(index, SEEDS, True)
        deployment.start_gateway(GATEWAY, SEEDS)
        deployment.start_endpoint(10, SEEDS)
        self.version = 1
        deployment.configure(self.version, SEEDS)
        deployment.run_job(GATEWAY)
        for turn, order in enumerate(itertools.permutations(SEEDS)):
            for index in order:
                self.fill(index, turn % 2 == 1)
            self.change(order[0])
        for turn in range(3):
            leader = wait_until(self.leader, 'a leader', 10)
            self.fill(leader, turn == 1, self.join if turn == 1 else lambda: None)
        self.check_refused()
        self.change(SEEDS[0])
        for index in self.schedulers:
            wait_until(lambda: deployment.read_version(index) == self.version,
                       'reading version %d at scheduler %d' % (self.version, index), 10)
        deployment.run_job(GATEWAY)
        deployment.check_started_once()
        members = deployment.run_ctl(SEEDS[0], 'schedule', 'members')['members']
        names = {member['name'] for member in members if member['voter']}
        if names != {deployment.ip(index) for index in self.schedulers}:
            raise StepError('expected all schedulers as voters, got %s' % members)


def main():
    programs, folder = sys.argv[1:]
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 300) as group:
        deployment = SiteDeployment(programs, folder, reserve_net(), group)
        deployment.daemon_type = PipedProcess
        deployment.tolerated_losses = 2  # All four schedulers vote.
        test = FullDisks(deployment)
        try:
            test.run()
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(12), file=sys.stderr)
            return 1
    print('full disks in turn: %d changes, the slowest acknowledged after %.1f s, %d jobs'
          % (test.version, test.slowest_s, deployment.jobs))
    return 0


if __name__ == '__main__':
    sys.exit(main())
