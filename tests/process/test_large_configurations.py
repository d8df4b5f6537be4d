"""Configurations of 1 MB follow one another at schedulers with a disk of 24 MB. Guards
against a log that is bounded only by its number of entries: it would fill the disks of
all schedulers at the same time, and no snapshot could be committed any more. The folder
of each scheduler, with files that are being written, must never exceed the disk, every
change must be acknowledged, and restarted schedulers must have the last one.

Usage: test_large_configurations.py FOLDER_OF_PROGRAMS FOLDER [--changes=N]
[--unlimited]: without the setting, to see the folders grow.
"""

import pathlib
import shutil
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from processes import ProcessGroup, StepError, wait_until  # noqa: E402
from site_run import SiteDeployment, reserve_net  # noqa: E402

SEEDS = [1, 2, 3]
GATEWAY = 9
DISK_MB = 24
CHANGES = 60
# Operators expect the acknowledgement of a change within this time.
ACKNOWLEDGEMENT_S = 5.0
SERVICES, NAME_BYTES = 1000, 1000


class LargeDeployment(SiteDeployment):
    def configuration(self, version):
        result = super().configuration(version)
        result['services'] += [{'name': ('s%d-%d-' % (version, index)).ljust(NAME_BYTES, 'x')}
                               for index in range(SERVICES)]
        return result


class FolderMeter(threading.Thread):
    """Records the largest size of each folder until it is stopped."""

    def __init__(self, folders):
        super().__init__(daemon=True)
        self.largest = dict.fromkeys(folders, 0)
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.01):
            for folder in self.largest:
                self.largest[folder] = max(self.largest[folder], self.size(folder))

    @staticmethod
    def size(folder):
        total = 0
        for file in folder.iterdir():
            try:
                total += file.stat().st_size
            except FileNotFoundError:  # Renamed or removed meanwhile.
                pass
        return total

    def stop(self):
        self.stopping.set()
        self.join()
        return max(self.largest.values())


def change(deployment, version):
    """Returns the time until the acknowledgement of a change, in seconds."""
    begin = time.monotonic()
    while True:
        for index in SEEDS:
            if deployment.replace_configuration(version, index) == 200:
                return time.monotonic() - begin
        if time.monotonic() - begin >= ACKNOWLEDGEMENT_S:
            raise StepError('change %d was not acknowledged within %.1f s'
                            % (version, ACKNOWLEDGEMENT_S))
        time.sleep(0.1)


def run(deployment, changes):
    for index in SEEDS:
        deployment.start_scheduler(index, SEEDS, True)
    deployment.start_gateway(GATEWAY, SEEDS)
    deployment.start_endpoint(10, SEEDS)
    deployment.configure(1, SEEDS)
    deployment.run_job(GATEWAY)
    meter = FolderMeter([deployment.folder / ('data-%d' % index) for index in SEEDS])
    meter.start()
    slowest = max(change(deployment, 2 + turn) for turn in range(changes))
    deployment.run_job(GATEWAY)
    for index in SEEDS:
        deployment.kill('scheduler-%d' % index)
        deployment.start_scheduler(index, SEEDS, False)
        wait_until(lambda: deployment.read_version(index) == 1 + changes,
                   'reading the last configuration at scheduler %d' % index, 10)
    deployment.run_job(GATEWAY)
    deployment.check_started_once()
    largest = meter.stop()
    print('large configurations: %d changes, the slowest acknowledged after %.1f s, '
          'at most %.1f MB in a folder' % (changes, slowest, largest / 2**20))
    if largest > DISK_MB * 2**20:
        raise StepError('a folder held %d bytes on a disk of %d MB' % (largest, DISK_MB))


def main():
    programs, folder = sys.argv[1:3]
    options = dict(option.partition('=')[::2] for option in sys.argv[3:])
    shutil.rmtree(folder, ignore_errors=True)
    with ProcessGroup(folder, 300) as group:
        deployment = LargeDeployment(programs, folder, reserve_net(), group)
        if '--unlimited' in options:
            deployment.storage = {'snapshot_every_mb': 1_000_000}
        else:
            deployment.storage = {'disk_mb': DISK_MB}
        try:
            run(deployment, int(options.get('--changes', CHANGES)))
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(12), file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
