"""Kills the control leader while a declaration is being submitted. Guards against a
tool that does not find the next leader, a declaration that is lost or accepted twice,
and a resend with the same submission id that does not get the first response.

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

# Delays between the start of the tool and the kill of the leader. The tool starts
# within some milliseconds, so the kill happens before, during and after its request.
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
        raise StepError('%s exited with code %s:\n%s' % (process.name, code, process.tail()))


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
    # The resend must get the stored response and change nothing.
    wait_submission(demo, submit(demo, number))
    after = accepted_numbers(demo)
    if before != after or len(after) != number:
        raise StepError('declaration %d: accepted numbers %s, after the resend %s'
                        % (number, before, after))
    demo.start_daemon(name)
    demo.wait_ready(CONTROLS)
    print('killed %s %.2f s after the start of submission %d' % (name, delay_s, number), flush=True)


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
