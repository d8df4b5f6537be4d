"""A worker leaves as planned. A second before it goes, its link begins to lose what is
sent to it, so that it hears no acknowledgement of its deregistration and runs on."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import (HEARTBEAT_MS, Executor, Site, Unable, find_twice, main,  # noqa: E402
                        route, service)

WORKERS = 9  # One that is cut off one way is a share of 0.111, at most 0.12 in the site file.
CUT_S = 5.5  # As in the site file.
PREFIX = '/plots/'


def case(trouble, sites):
    site = Site()
    sites.append(site)
    site.start([route('plots', PREFIX, 'svc-a')], [service('svc-a')])
    workers = [Executor(site, 20 + number, 'svc-a') for number in range(WORKERS)]
    time.sleep(2)
    jobs = [site.submit(PREFIX, [{'count': 4, 'cpu': 2000, 'memMb': 512, 'estimateMs': 9000}],
                        {'ms': 9000, 'cpu': 2000}) for _ in range(2)]
    time.sleep(1)
    leaver = max(workers, key=lambda worker: len(worker.running))
    if not leaver.running:
        raise Unable('no worker has a task')
    # The drain begins a third of an interval after a heartbeat.
    beaten = leaver.beaten_at
    while leaver.beaten_at == beaten:
        time.sleep(0.005)
    time.sleep(HEARTBEAT_MS / 3000)

    def cut(_):
        """The last heartbeat before the end has been answered; then the link fails."""
        beaten = leaver.beaten_at
        while leaver.beaten_at == beaten:
            time.sleep(0.005)
        time.sleep(0.05)
        if trouble:
            site.record.add('the link of', leaver.name, 'loses what is sent to it')
            leaver.link.to_executor = False
            threading.Timer(CUT_S, heal).start()

    def heal():
        site.record.add('the link of', leaver.name, 'is whole again')
        leaver.link.to_executor = True

    leaver.drain(linger_s=0.2, before_end=cut)
    until = time.monotonic() + 40
    while any(site.state(PREFIX, job) != 'complete' for job in jobs):
        if time.monotonic() > until:
            raise Unable('the jobs are not done')
        time.sleep(0.3)
    return find_twice(site)


main(FOLDER, case)
