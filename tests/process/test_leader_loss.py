"""Kills the control leader while a declaration is being submitted. The tool must
find the next leader, the declaration must be accepted exactly once, and a
resend under the same submission id must get the first answer.

Usage: test_leader_loss.py FOLDER_OF_PROGRAMS FOLDER
"""

import argparse
import pathlib
import shutil
import signal
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / 'demo'))
from run import Demo  # noqa: E402
from deployment import CONTROLS, ENTRIES  # noqa: E402
from processes import ProcessGroup, StepError  # noqa: E402

# Between the start of the tool and the loss of the leader. The tool starts
# within some milliseconds, so the loss comes before, during and after the call.
KILL_DELAYS_S = (0.0, 0.01, 0.03, 0.1)


def submit(demo, number):
    path = demo.write_declaration(number)
    return demo.group.start('submit-%d' % number, [
        demo.program('lycheetrestlectl'), 'submit', path, '--wait',
        '--control', demo.deployment.control_addresses(), '--actor', 'tester',
        '--submission', 'submission-%d' % number, '--output', 'json'])


def wait_submission(demo, process):
    code = process.wait(90)
    del demo.group.processes[process.name]
    if code != 0:
        raise StepError('%s ended with %s:\n%s' % (process.name, code, process.tail()))


def leader_name(demo):
    return demo.ctl_json('status')['leader'].split()[0]


def accepted_numbers(demo):
    records = demo.ctl_json('audit', '--by=tester', '--kind=declaration')['audit']
    return [record['after'] for record in records if record['result'] == 'accepted']


def check_leader_loss(demo, number, delay_s):
    name = leader_name(demo)
    process = submit(demo, number)
    time.sleep(delay_s)
    demo.group.processes[name].send_signal(signal.SIGKILL)
    demo.group.processes.pop(name).wait(10)
    wait_submission(demo, process)
    before = accepted_numbers(demo)
    # The resend gets the stored answer and changes nothing.
    wait_submission(demo, submit(demo, number))
    after = accepted_numbers(demo)
    if before != after or len(after) != number:
        raise StepError('declaration %d: accepted %s, after the resend %s'
                        % (number, before, after))
    demo.start_daemon(name)
    demo.wait_ready(CONTROLS)
    print('lost %s %.2f s after the start of submission %d' % (name, delay_s, number), flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('programs', type=pathlib.Path)
    parser.add_argument('folder', type=pathlib.Path)
    arguments = parser.parse_args()
    shutil.rmtree(arguments.folder, ignore_errors=True)
    (arguments.folder / 'data').mkdir(parents=True)
    arguments.seconds = 0
    with ProcessGroup(arguments.folder.resolve()) as group:
        demo = Demo(arguments, group)
        try:
            demo.start_platform()
            demo.start_controls()
            for name in ENTRIES:
                demo.start_daemon(name)
            demo.wait_ready(ENTRIES)
            for index, delay_s in enumerate(KILL_DELAYS_S):
                check_leader_loss(demo, index + 1, delay_s)
            demo.stop_processes(ENTRIES)
            demo.stop_processes(CONTROLS)
        except StepError as failure:
            print('FAILED: %s' % failure, file=sys.stderr)
            for process in group.processes.values():
                print(process.tail(), file=sys.stderr)
            return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
