"""A worker goes dark for good. A job that lasts is handed in before the system knows."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import Executor, Site, Unable, find_standing, main, route, service  # noqa: E402

WORKERS = 8  # One that crashes is a share of 0.125, at most 0.14 in the site file.
PREFIX = '/replan/'
LIMIT_S = 3  # RULES.md, LOST: for 3 s, after 4 s of calm.
CALM_S = 4


def case(trouble, sites):
    site = Site()
    sites.append(site)
    site.start([route('replan', PREFIX, 'svc-a')], [service('svc-a')])
    workers = [Executor(site, 20 + number, 'svc-a', rack='r1-%d' % number)
               for number in range(WORKERS)]
    time.sleep(3)
    first = site.submit(PREFIX, [{'count': 2, 'cpu': 1000, 'memMb': 512, 'estimateMs': 900,
                                  'longRunning': True}], {'ms': None, 'cpu': 1000})
    time.sleep(3)
    lost = max(workers, key=lambda worker: len(worker.running))
    crashed = site.record.now()
    if trouble:
        lost.go_dark()
    time.sleep(0.3)
    second = site.submit(PREFIX, [{'count': 2, 'cpu': 1000, 'memMb': 512, 'estimateMs': 900,
                                   'longRunning': True}], {'ms': None, 'cpu': 1000})
    time.sleep(25)
    return find_standing(site, [(first, 2), (second, 2)], crashed + CALM_S, LIMIT_S)


main(FOLDER, case)
