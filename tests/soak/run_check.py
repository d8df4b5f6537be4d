"""What the endpoints of a soak saw, against what must hold."""

import collections

# Output of a process is stamped a little after the event.
TIMESTAMP_TOLERANCE_S = 0.005


class RunCheck:
    """Reads the events of all endpoints: starts, ends, acknowledged ends, and
    the times at which an endpoint was killed."""

    def __init__(self, logs):
        self.intervals = collections.defaultdict(list)  # task -> (start, end, how, attempt)
        self.acknowledged_runs = set()  # Done runs, as (task, attempt).
        for log in logs:
            self.read(log)

    def read(self, log):
        running, done, expiries = {}, {}, []
        for line in log.read_text().splitlines():
            fields = line.split()
            if not fields:
                continue  # A killed process may leave the end of a line.
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
                # An end whose endpoint lost its lease before it was acknowledged
                # does not bind the scheduler, which had to give the run up.
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
        violations = []
        for task, runs in self.intervals.items():
            runs.sort()
            for before, after in zip(runs, runs[1:]):
                if after[0] < before[1] - TIMESTAMP_TOLERANCE_S:
                    violations.append('%s ran twice at once: %s %s' % (task, before, after))
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
