"""What the endpoints of a soak saw, against what must hold."""

import collections

# Output of a process is stamped a little after the event.
SLACK_S = 0.005


class RunCheck:
    """Reads the events of all endpoints: starts, ends, acknowledged ends, and
    the times at which an endpoint was killed."""

    def __init__(self, logs):
        self.intervals = collections.defaultdict(list)  # task -> (start, end, how, attempt)
        self.noted = set()  # Done runs, as (task, attempt).
        for log in logs:
            self.read(log)

    def read(self, log):
        running, done, lapses = {}, {}, []
        for line in log.read_text().splitlines():
            words = line.split()
            if not words:
                continue  # A killed process may leave the end of a line.
            if words[0] == 'start':
                running[words[1], words[2]] = float(words[3])
            elif words[0] == 'end':
                begun = running.pop((words[1], words[2]))
                self.intervals[words[1]].append(
                    (begun, float(words[4]), words[3], words[2]))
                if words[3] == 'done':
                    done[words[1], words[2]] = float(words[4])
            elif words[0] == 'lapse':
                lapses.append(float(words[1]))
            elif words[0] == 'noted' and words[3] == 'done':
                # An end whose endpoint lost its lease before it was acknowledged
                # does not bind the scheduler, which had to give the run up.
                ended = done[words[1], words[2]]
                if not any(ended <= lapse <= float(words[4]) for lapse in lapses):
                    self.noted.add((words[1], words[2]))
            elif words[0] == 'killed':
                for (task, attempt), begun in running.items():
                    self.intervals[task].append((begun, float(words[1]), 'killed', attempt))
                running.clear()
        for (task, attempt), begun in running.items():
            self.intervals[task].append((begun, float('inf'), 'open', attempt))

    def broken(self, callers):
        broken = []
        for task, runs in self.intervals.items():
            runs.sort()
            for before, after in zip(runs, runs[1:]):
                if after[0] < before[1] - SLACK_S:
                    broken.append('%s ran twice at once: %s %s' % (task, before, after))
                if before[2] == 'done' and (task, before[3]) in self.noted:
                    broken.append('%s started after it was done: %s %s' % (task, before, after))
            if task.split('.')[0] in callers.refused:
                broken.append('%s ran although it was refused' % task)
        for job, (_, steps) in callers.accepted.items():
            if job in callers.cancelled:
                continue
            for step, spec in enumerate(steps):
                for index in range(spec['count']):
                    task = '%s.0.%d.%d' % (job, step, index)
                    if not any(run[2] == 'done' for run in self.intervals[task]):
                        broken.append('%s was never done' % task)
        return broken
