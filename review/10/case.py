"""Workers crash one after the other, and three times it is the one that has a task of a
sound job. Then all is calm."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import Executor, Site, Unable, main, route, runs_by_task, service  # noqa: E402

WORKERS = 8  # One at a time is a share of 0.125, at most 0.14 in the site file.
DOWN_S = 4.5  # As in the site file.
PREFIX = '/plots/'
FINISH_S = 14


def case(trouble, sites):
    site = Site()
    sites.append(site)
    site.start([route('plots', PREFIX, 'svc-a')], [service('svc-a')])
    for number in range(WORKERS):
        Executor(site, 20 + number, 'svc-a', rack='r1-%d' % (number % 4))
    time.sleep(2)
    job = site.submit(PREFIX, [{'count': 1, 'cpu': 2000, 'memMb': 512, 'estimateMs': 8000}],
                      {'ms': 8000, 'cpu': 2000})
    for _ in range(3 if trouble else 0):
        until = time.monotonic() + 15
        while not any(worker.running for worker in site.executors):
            if time.monotonic() > until:
                raise Unable('the task does not start')
            time.sleep(0.05)
        time.sleep(3)
        worker = next(worker for worker in site.executors if worker.running)
        worker.end('crashes')
        time.sleep(DOWN_S)
        Executor(site, worker.number, 'svc-a', name=worker.name, machine=worker.machine,
                 rack=worker.labels[1])
    calm = site.record.now()
    time.sleep(FINISH_S)
    broken = []
    asked = site.record.now()
    while site.record.now() - asked < 30:
        state = site.state(PREFIX, job)
        site.record.add('client asks for', job, '->', state)
        if state == 'complete':
            break
        time.sleep(3)
        if not any(run.ended is None for _, runs in runs_by_task(site).items()
                   for _, run in runs) and site.state(PREFIX, job) != 'complete':
            broken = ['LOST: %s has nothing running %.1f s after the last worker came back, '
                      'and is shown as %s' % (job, site.record.now() - calm, state)]
    return broken


main(FOLDER, case)
