"""The machine of the leader stands still for two seconds. Clients that get no answer leave
and cancel their jobs at another machine. They get 410, and the jobs run all the same."""

import json
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
from small_site import (BOUNDS, Executor, Site, Unable, main, route, runs_by_task,  # noqa: E402
                        service)

PREFIX = '/plots/'
CLIENTS, PATIENT = 8, 24  # A quarter of the clients leaves, as in the site file.
FREEZE_S = 2.0  # In the site file: up to 7.1 s, one machine of the core.
LEAVE_S = 0.3  # Half of the latency objective of 600 ms, as give_up says.
CONTACT_S, CANCEL_S, STOP_S = 3, 3, BOUNDS['stopTimeoutMs'] / 1000
TASK_S = 20


def case(trouble, sites):
    site = Site(gateways=4)
    sites.append(site)
    site.start([route('plots', PREFIX, 'svc-a')], [service('svc-a')])
    for number in range(4):
        Executor(site, 20 + number, 'svc-a')
    time.sleep(2)
    jobs = ['%016x' % random.getrandbits(64) for _ in range(CLIENTS)]
    cancelled = {}

    def client(number):
        job, own, other = jobs[number], number % 4, (number + 2) % 4
        status, _ = site.client('POST', PREFIX + job, {
            'spec': json.dumps({'ms': TASK_S * 1000, 'cpu': 1000}),
            'phases': [{'count': 2, 'cpu': 1000, 'memMb': 256, 'estimateMs': TASK_S * 1000}]},
            front=own, timeout=LEAVE_S, deadline_ms=3000)
        site.record.add('client submits', job, 'at', site.gateways[own], '->',
                        status or 'leaves without an answer')
        while job not in cancelled:
            status, _ = site.client('DELETE', PREFIX + job, front=other)
            site.record.add('client cancels', job, 'at', site.gateways[other], '->', status)
            if status == 410 or 200 <= status < 300:
                cancelled[job] = site.record.now()
            time.sleep(0.05)

    def patient(number):
        """Waits for its answers, and asks again with the same id after none."""
        site.submit(PREFIX, [{'count': 1, 'cpu': 500, 'memMb': 64, 'estimateMs': 500}],
                    {'ms': 500, 'cpu': 500}, front=number, tries=40)

    leader = site.leader()
    if not leader:
        raise Unable('no leader is known')
    if trouble:
        site.signal(leader, signal.SIGSTOP)
        threading.Timer(FREEZE_S, site.signal, (leader, signal.SIGCONT)).start()
    calm = site.record.now() + (FREEZE_S if trouble else 0) + CONTACT_S
    time.sleep(0.1)
    clients = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    clients += [threading.Thread(target=patient, args=(number,)) for number in range(PATIENT)]
    for one in clients:
        one.start()
    for one in clients:
        one.join()
    time.sleep(TASK_S)
    for job in jobs:
        site.record.add('client asks for', job, '->', site.state(PREFIX, job))
    broken = []
    for task, runs in sorted(runs_by_task(site).items()):
        acknowledged = cancelled.get(task.split('.')[0])
        if acknowledged is None:
            continue
        limit = max(acknowledged, calm) + CANCEL_S + STOP_S
        for _, run in runs:
            if run.begun <= limit and (run.ended or site.record.now()) > limit:
                broken.append('UNASKED: the cancelling of the job of %s was acknowledged at %.3f, its '
                              'run %d starts at %.3f and goes on after %.3f' % (
                                  task, acknowledged, run.attempt, run.begun, limit))
    return broken


main(FOLDER, case)
