"""Checks the runs that the endpoints of a soak executed."""

import collections

# An endpoint takes the time of an event slightly after it happened.
TIMESTAMP_TOLERANCE_S = 0.005


class RunCheck:
    """Collects the runs of all endpoints from their event logs: starts, ends, lease
    expiries, acknowledged ends, and the times at which an endpoint was killed. See
    standin/site_endpoint.py for the events."""

    def __init__(self, logs):
        self.intervals = collections.defaultdict(list)  # task -> (start, end, how, attempt)
        self.acknowledged_runs = set()  # Acknowledged runs that were done, as (task, attempt).
        for log in logs:
            self.read(log)

    def read(self, log):
        running, done, expiries = {}, {}, []
        for line in log.read_text().splitlines():
            fields = line.split()
            if not fields:
                continue  # A killed process may leave part of a line.
            if fields[0] == 'start':
                running[fields[1], fields[2]] = float(fields[3])
            elif fields[0] == 'end':
                started = running.pop((fields[1], fields[2]))
                self.intervals[fields[1]].append(
                    (started, float(fields[4]), fields[3], fields[2]))
                if fields[3] == 'done':
                    done[fields[1], fields[2]] = float(fields[4])
            elif fields[0] == 'lapse':
                expiries.append(float(fields[1]))
            elif fields[0] == 'noted' and fields[3] == 'done':
                # If the lease expired between the end of the run and its
                # acknowledgement, the scheduler had to abandon the run and may start
                # the task again.
                ended = done[fields[1], fields[2]]
                if not any(ended <= expired <= float(fields[4]) for expired in expiries):
                    self.acknowledged_runs.add((fields[1], fields[2]))
            elif fields[0] == 'killed':
                for (task, attempt), started in running.items():
                    self.intervals[task].append((started, float(fields[1]), 'killed', attempt))
                running.clear()
        for (task, attempt), started in running.items():
            self.intervals[task].append((started, float('inf'), 'open', attempt))

    def violations(self, callers):
        """Returns a text for each violation: a task that ran twice concurrently, started
        after an acknowledged end, ran although its job was refused, or was never done
        although its job was accepted and not cancelled."""
        violations = []
        for task, runs in self.intervals.items():
            runs.sort()
            for before, after in zip(runs, runs[1:]):
                if after[0] < before[1] - TIMESTAMP_TOLERANCE_S:
                    violations.append('%s ran twice concurrently: %s %s' % (task, before, after))
                if before[2] == 'done' and (task, before[3]) in self.acknowledged_runs:
                    violations.append('%s started after it was done: %s %s' % (task, before, after))
            if task.split('.')[0] in callers.refused:
                violations.append('%s ran although it was refused' % task)
        for job, (_, steps) in callers.accepted.items():
            if job in callers.cancelled:
                continue
            for step, spec in enumerate(steps):
                for index in range(spec['count']):
                    task = '%s.0.%d.%d' % (job, step, index)
                    if not any(run[2] == 'done' for run in self.intervals[task]):
                        violations.append('%s was never done' % task)
        return violations
