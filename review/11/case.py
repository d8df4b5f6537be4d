"""Case 11: all machines lose power after the settings were given other seeds, and those seeds,
which serve control without a disk, are back 2 s after the others."""
import asyncio, json, os, pathlib, random, signal, sys, time
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from stand import Executor, Site, World, call, now, serve   # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RECOVERY_S, FINISH_S, DOWN_S, LATER_S = 12, 14, 1.1, 2.0

async def main():
    site = Site(schedulers=6, gateways=0)
    site.diskless = {4, 5, 6}                  # As "/-/" calls reach them: they serve control, too.
    site.gates = [1, 2, 3, 4, 5, 6]            # One gateway on each machine, as deploy/system.toml says.
    site.seeds = [1, 2, 3]
    w = World(site, ['alpha'])
    def start(machines, founding=False):
        for i in machines:
            site.start_sched(i, founding); site.start_gate(i)
    try:
        start(site.sched, True)
        w.rec('started machines 1 to 6, seeds 1, 2, 3; 1 to 3 have a disk')
        for i in range(1, 5):
            ex = Executor(w, i, 'alpha', 'i-%d' % i); w.add(ex); await ex.start()
        config = dict(version=1, routes=[dict(name='r', host='h.example', pathPrefix='/q/', kind='unsafe', timeoutMs=3000, targetLatencyMs=600,
            priority=0, service='alpha', maxAttempts=2, slackFactor=2)], services=[dict(name='alpha', healthPath='/healthz', maxConns=64,
            protocol='h1', tls=False, enforceLimits=True, standby=False)], limits=dict(maxHeaderBytes=16384, maxBodyBytes=262144, headerTimeoutMs=3000, idleTimeoutMs=15000))
        for _ in range(100):
            st, d, a = await site.control_call('POST', '/-/config/replace', config)
            if st == 200: break
            await asyncio.sleep(.2)
        if st != 200: w.rec('no configuration was acknowledged'); return 2
        w.rec('configuration 1 acknowledged')
        async def client(method, jid, doc=None):
            """One request of a client with four retries, at any node. Returns the last status."""
            for n, g in enumerate(random.sample(site.gates, 5)):
                st, d, h = await call(site.front(g), method, '/q/' + jid, doc, host='h.example', headers={'Lycheetrestle-Deadline-Ms': '3000'})
                w.rec(method, jid, 'at', g, '->', st, d)
                if st in (200, 410): return st, d
                await asyncio.sleep(.1 * 2 ** n)
            return st, d
        def job():
            jid = '%016x' % random.getrandbits(64); doc = dict(spec='s', phases=[dict(count=2, cpu=500, memMb=64, estimateMs=300)])
            w.jobs[jid] = dict(doc=doc, work=[.3], lasts=False, services={'alpha'}, attempts=2, queue='q', cancel=None, advice=False); return jid, doc
        async def requests(seconds):
            served, asked, end = 0, 0, now() + seconds
            while now() < end:
                jid, doc = job(); asked += 1
                st, d = await client('POST', jid, doc)
                if st == 200: served += 1; accepted.append(jid)
                await asyncio.sleep(.25)
            return served, asked
        accepted = []
        served, asked = await requests(6)
        w.rec('before: %d of %d requests served' % (served, asked))
        if served < asked * .9: return 2
        if TROUBLE:
            site.seeds = [4, 5, 6]
            w.rec('the settings name the seeds 4, 5, 6 from now on; all machines lose power')
            for name in list(site.procs): site.signal(name, signal.SIGKILL)
            for name in list(site.procs): site.procs[name].wait()
            await asyncio.sleep(DOWN_S)
            start([1, 2, 3]); w.rec('machines 1 to 3 are back, with their disks')
            await asyncio.sleep(LATER_S)
            start([4, 5, 6]); w.rec('machines 4 to 6 are back')
        else:
            await asyncio.sleep(DOWN_S + LATER_S)
        await asyncio.sleep(RECOVERY_S)
        served, asked = await requests(15)
        w.rec('later than recoveryS (12 s) after all are back: %d of %d requests served' % (served, asked))
        if served * 4 < asked: w.breaks('RECOVER', '%d of %d requests served later than 12 s after the machines were back' % (served, asked))
        await asyncio.sleep(FINISH_S)
        w.rec('finish_s (14 s) after the end of the traffic')
        unknown = 0
        before = accepted[:6]
        for jid in before:
            st, d = await client('GET', jid)
            if st != 200: unknown += 1
        w.rec('of %d jobs accepted before, %d get no answer about their state' % (len(before), unknown))
        if unknown: w.breaks('LOST', 'no answer about %d of %d accepted jobs' % (unknown, len(before)))
        return 1 if w.broken else 0
    finally:
        site.stop()
        for ex in w.execs: ex.crash('end')
        (HERE / 'record.txt').write_text('\n'.join(w.log) + '\n')

if __name__ == '__main__':
    code = asyncio.run(main())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code]); sys.exit(code)
