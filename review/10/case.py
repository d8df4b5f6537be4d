"""An idle worker goes dark for good. A job that lasts is handed in before the system knows."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import Executor, Site, Unable, find_standing, main, route, service  # noqa: E402

WORKERS = 22  # One that is gone is a share of 0.045, at most 0.046 in the site file.
PREFIX = '/replan/'
# RULES.md, LOST: nothing running for 3 s, when the 4 s before are calm. The bench lists a
# crash of a worker that is gone as one of 5 s.
CRASH_S, CALM_S, LIMIT_S = 5, 4, 3
PHASES = [{'count': 2, 'cpu': 1000, 'memMb': 512, 'estimateMs': 900, 'longRunning': True}]
SPEC = {'ms': None, 'cpu': 1000}


def case(trouble, sites):
    site = Site()
    sites.append(site)
    site.start([route('replan', PREFIX, 'svc-a')], [service('svc-a')])
    workers = [Executor(site, 20 + number, 'svc-a', rack='r1-%d' % number)
               for number in range(WORKERS)]
    time.sleep(3)
    # Shows which worker the system prefers. It is idle again before it is lost.
    first = site.submit(PREFIX, PHASES, SPEC)
    time.sleep(2)
    lost = max(workers, key=lambda worker: len(worker.running))
    status, _ = site.client('DELETE', PREFIX + first)
    site.record.add('client cancels', first, '->', status)
    time.sleep(1.5)
    if any(worker.running for worker in workers):
        raise Unable('the first job still runs')
    crashed = site.record.now()
    if trouble:
        lost.go_dark()
    time.sleep(2.5)
    second = site.submit(PREFIX, PHASES, SPEC)
    time.sleep(25)
    return find_standing(site, [(second, 2)], crashed + CRASH_S + CALM_S, LIMIT_S)


main(FOLDER, case)
