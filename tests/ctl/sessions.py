"""The sessions of test_sessions.py: the scripts of the fake replicas and the commands
that are run against them."""

ID = '--submission=s-1'
# Long enough for a response on a loaded machine.
SHORT = '--timeout_ms=900'


def refusal(error, rule, field='', value='', verdict='not-run'):
    return {'error': error, 'rule': rule, 'field': field, 'value': value, 'verdict': verdict}


def status(accepted, in_force, waiting):
    return {'leader': 'control-2', 'term': 4, 'applied_index': 41, 'declaration_number': accepted,
            'in_force': {'number': in_force, 'since': 1796365800000, 'waiting': waiting},
            'pools': [
                {'name': 'gate', 'hosts': 12, 'home_hosts': 12, 'available': 11, 'budget': 10,
                 'in_use': 4, 'buffer': 1},
                {'name': 'records', 'hosts': 6, 'home_hosts': 6, 'available': 6, 'budget': 0,
                 'in_use': 0, 'buffer': 6}],
            'entries': [
                {'name': 'entry-1', 'serving': True, 'version': 7, 'view_index': 41, 'age_ms': 80},
                {'name': 'entry-2', 'serving': False, 'version': 0, 'view_index': 0,
                 'age_ms': None}],
            'hosts_by_state': {'in_service': 17, 'draining': 1}, 'keys': 0}


HOSTS = {'hosts': [
    {'name': 'w01', 'pool': 'gate', 'home': 'gate', 'zone': 'kv-1', 'rack': 'kv-1-r1',
     'state': 'in_service', 'epoch': 1, 'changed_ms': 0},
    {'name': 'w02', 'pool': 'gate', 'home': 'records', 'zone': 'kv-2', 'rack': 'kv-2-r1',
     'state': 'draining', 'epoch': 12, 'changed_ms': 1796365800000}]}
WAVES = {'waves': [{'id': 3, 'state': 'paused', 'total': 50, 'done': 8, 'failures': 2,
                    'pause_reason': '2 hosts failed', 'started_ms': 1796365800000}]}
AUDIT = {'audit': [{'index': 17, 'time_ms': 1796365800000, 'actor': 'pipeline', 'kind': 'host',
                    'object': 'w02', 'before': 'in_service', 'after': 'cordoned',
                    'result': 'accepted'}]}
SCHEDULE = {'role': 'leader', 'leader': '10.0.0.1', 'term': 4, 'configuration': 7,
            'live_jobs': 2}
ENDPOINTS = {'endpoints': [{'number': 3, 'name': 'i-1', 'pool': 'gate', 'zone': 'kv-1',
                            'draining': False, 'runs': 4}]}
ACCEPTED = {'number': 7, 'result': 'accepted'}
NOT_LEADER = (421, refusal('not-leader', 'another replica leads'))
LEADER_IS_B = (*NOT_LEADER, {'X-Leader': 'control-b {b}'})
STATUS = (200, status(7, 7, []))

SESSIONS = {
    'tables': {
        'replicas': {'a': [STATUS, (200, HOSTS), (200, WAVES), (200, AUDIT), (200, {'jobs': []})]},
        'commands': [['status'], ['hosts'], ['waves'],
                     ['audit', '--by=pipe line', '--object=w02', '--kind', 'host',
                      '--after=16', '--limit=5'],
                     ['jobs', 'list']],
    },
    'schedule': {
        'replicas': {'a': [(200, SCHEDULE), (200, ENDPOINTS)]},
        'commands': [['schedule', 'status'], ['schedule', 'endpoints'], ['schedule', 'hosts']],
    },
    'json': {
        'replicas': {'a': [(200, WAVES), (409, refusal('conflict', 'no wave is paused'))]},
        'commands': [['waves', '--output=json'],
                     ['maintenance', 'resume', ID, '--output=json']],
    },
    # Each changing command must send the documented method, path and body.
    'changes': {
        'replicas': {'a': [(200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID, '--actor=ann'], ['reboot', 'w01', ID],
                     ['move', 'w01', 'gate', ID], ['return', 'w01', ID],
                     ['maintenance', 'start', ID], ['maintenance', 'pause', ID],
                     ['maintenance', 'resume', ID], ['jobs', 'submit', 'job.jsonc', ID],
                     ['jobs', 'cancel', '4', ID]],
    },
    'declarations': {
        'replicas': {'a': [
            (200, {'steps': [{'batch': 1, 'host': 'w01', 'action': 'move', 'from_pool': 'records',
                              'to_pool': 'gate'}],
                   'budgets': [{'pool': 'gate', 'hosts': 1, 'available': 1, 'budget': 1,
                                'lowest_available': 1}]}),
            (200, ACCEPTED), (409, refusal('conflict', 'must be larger than 7', 'number', '7')),
            (200, {'current': 7, 'numbers': [3, 7]}),
            (404, refusal('not-found', 'no such declaration', 'number', '9'))]},
        'commands': [['plan', 'declaration.jsonc'], ['submit', 'declaration.jsonc', ID],
                     ['submit', 'declaration.jsonc', '--submission=s-2'], ['declarations'],
                     ['declarations', '9']],
    },
    # The response to an earlier submission must not confirm a different change.
    'reused_submission': {
        'replicas': {'a': [(200, {'number': 6}), (200, {'host': 'w01'}), (200, {'host': 'w02'})]},
        'commands': [['submit', 'declaration.jsonc', '--wait', ID], ['drain', 'w02', ID],
                     ['drain', 'w02', ID]],
    },
    # The tool follows a redirect from a follower to the leader, with the same
    # submission id. The leader need not be in the list of the tool.
    'leader': {
        'replicas': {'a': [LEADER_IS_B], 'b': [(200, {'result': 'accepted'})]},
        'unlisted': ['b'],
        'commands': [['drain', 'w01', ID]],
    },
    # A replica that is down, or that has no leader to name, is skipped.
    'next_replica': {
        'replicas': {'dead': 'closed', 'a': [NOT_LEADER], 'b': [(200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID]],
    },
    # Replicas that name each other as leader must not cause an endless loop.
    'no_leader': {
        'replicas': {'a': [LEADER_IS_B], 'b': [(*NOT_LEADER, {'X-Leader': 'control-a {a}'})]},
        'commands': [['status', SHORT]],
        'repeats': True,
        # At most 4 requests for each of the 2 replicas in each of 9 rounds.
        'most_requests': 80,
    },
    # A lost response is followed by a resend with the same submission id.
    'lost_answer': {
        'replicas': {'a': ['drop', (200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID]],
    },
    'cut_answer': {
        'replicas': {'a': ['truncate', (200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID]],
    },
    # A frozen replica must not use up the timeout for the others.
    'frozen': {
        'replicas': {'a': 'frozen', 'b': [(200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID, '--timeout_ms=3000']],
    },
    # The response to the first attempt was lost: a refusal of the second settles the
    # outcome only if it states that the change was not made.
    'lost_then_refused': {
        'replicas': {'a': ['drop', (409, refusal('conflict', 'must be larger than 7'))]},
        'commands': [['submit', 'declaration.jsonc', ID]],
    },
    'lost_then_no_verdict': {
        'replicas': {'a': ['drop', (409, {'error': 'conflict'})]},
        'commands': [['submit', 'declaration.jsonc', ID, SHORT]],
        'repeats': True,
    },
    'may_have_run': {
        'replicas': {'a': [(503, refusal('unavailable', 'leadership was lost',
                                         verdict='may-have-run'))]},
        'commands': [['drain', 'w01', ID, SHORT]],
        'repeats': True,
    },
    # A temporary refusal is retried, because the change was not made.
    'busy': {
        'replicas': {'a': [(503, refusal('overloaded', 'the queue is full')),
                           (200, {'result': 'accepted'})]},
        'commands': [['drain', 'w01', ID]],
    },
    # The change may have been made, so it must not be reported as not made.
    'unknown': {
        'replicas': {'a': ['drop and stop']},
        'commands': [['drain', 'w01', ID, SHORT]],
    },
    # A verdict not-run on the second attempt does not cover the first.
    'unknown_then_refused': {
        'replicas': {'a': ['drop', (503, refusal('unavailable', 'no majority'))]},
        'commands': [['drain', 'w01', ID, SHORT]],
        'repeats': True,
    },
    'unavailable': {
        'replicas': {'a': 'closed'},
        'commands': [['drain', 'w01', ID, SHORT], ['hosts', SHORT]],
    },
    'refused': {
        'replicas': {'a': [
            (409, refusal('budget-exceeded', 'pool gate would fall under its budget', 'host',
                          'w01')),
            (400, refusal('bad-input', 'must be a known pool', 'pool', 'gates')),
            (404, 'no such page')]},
        'commands': [['drain', 'w01', ID], ['move', 'w01', 'gates', ID], ['hosts']],
    },
    # No request may be sent if the command line or a file is invalid.
    'usage': {
        'replicas': {'a': [(200, {})]},
        'commands': [[], ['drian', 'w01'], ['drain'], ['drain', '../w01'], ['move', 'w01'],
                     ['wait', 'seven'], ['status', '--colour=red'], ['status', '--timeout_ms=soon'],
                     ['status', '--timeout_ms'], ['status', '--output=xml'],
                     ['status', '--control=a'], ['status', '--control=:1'],
                     ['status', '--control=a:70000'],
                     ['jobs', 'submit', 'missing.jsonc'], ['jobs'],
                     ['drain', 'w01', '--actor=a\nX-Evil: 1']],
    },
    'no_control': {'replicas': {}, 'commands': [['status'], ['help']]},
    'wait': {
        'replicas': {'a': [(200, status(6, 6, [])), (200, status(7, 6, ['entry-1', 'entry-2'])),
                           (200, status(7, 6, ['entry-2'])), STATUS]},
        'commands': [['wait', '7']],
    },
    'submit_wait': {
        'replicas': {'a': [(200, ACCEPTED), (200, status(7, 6, ['entry-2'])), STATUS]},
        'commands': [['submit', 'declaration.jsonc', '--wait', ID]],
    },
    'wait_timeout': {
        'replicas': {'a': [(200, status(7, 6, ['entry-2']))]},
        'commands': [['wait', '7', '--wait_timeout_ms=500']],
        'repeats': True,
    },
    # Text from a response must not reach the terminal as an escape sequence.
    'control_characters': {
        'replicas': {'a': [(200, {'hosts': [{'name': 'w\u001b[2J', 'state': ''}]}),
                           (200, '\x1b]0;x')]},
        'commands': [['hosts'], ['hosts']],
    },
    'validate': {
        'replicas': {},
        'commands': [['validate', 'declaration.jsonc'], ['validate', 'unknown_field.jsonc'],
                     ['validate', 'missing.jsonc']],
    },
}
