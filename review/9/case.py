"""The operator removes a route and adds it again with fewer attempts, while a task of an
accepted job that has failed once waits for room."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import Executor, Site, Unable, main, route, runs_by_task, service  # noqa: E402

WORKERS = 4
PREFIX, OTHER = '/plots/', '/urgent/'
FINISH_S, LIMIT_S = 14, 3  # RULES.md, LOST.


def case(trouble, sites):
    site = Site()
    sites.append(site)
    plots = route('plots', PREFIX, 'svc-a', maxAttempts=3, priority=1)
    urgent = route('urgent', OTHER, 'svc-a', priority=0)
    site.start([plots, urgent], [service('svc-a')])
    for number in range(WORKERS):
        Executor(site, 20 + number, 'svc-a')
    time.sleep(2)
    phase = {'cpu': 6000, 'memMb': 512}
    # Its runs fail: the first one now, and the next ones too.
    job = site.submit(PREFIX, [{**phase, 'count': 1, 'estimateMs': 1000}],
                      {'ms': 1000, 'how': 'failed', 'cpu': 6000})
    time.sleep(0.3)
    # Fills all workers for 6 s as soon as there is room.
    other = site.submit(OTHER, [{**phase, 'count': WORKERS, 'estimateMs': 6000}],
                        {'ms': 6000, 'cpu': 6000})
    time.sleep(2)
    if trouble:
        site.configure([urgent])
        time.sleep(1)
        site.configure([{**plots, 'maxAttempts': 1}, urgent])
    until = time.monotonic() + 30
    while site.state(OTHER, other) != 'complete':
        if time.monotonic() > until:
            raise Unable('the other job is not done')
        time.sleep(0.1)
    idle_from = site.record.now()
    site.record.add('the other job is complete, all workers are idle')
    time.sleep(FINISH_S + LIMIT_S)
    state = site.state(PREFIX, job)
    site.record.add('client asks for', job, '->', state)
    runs = [run for task, runs in runs_by_task(site).items() if task.startswith(job)
            for _, run in runs]
    if state in ('failed', 'complete') or any(run.ended is None or run.ended > idle_from + FINISH_S
                                              for run in runs):
        return []
    return ['LOST: %s is shown as %s and has had nothing running for %.1f s, with all workers idle' % (
        job, state, site.record.now() - idle_from)]


main(FOLDER, case)
