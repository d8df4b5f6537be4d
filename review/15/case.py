"""Case 15: a configuration adds a route whose prefix has no slash at its end."""
import asyncio, os, pathlib, random, sys
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from stand import Executor, Site, World, call   # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONFIG_APPLY_S = 2

async def main():
    site = Site(schedulers=3, gateways=3); w = World(site, ['alpha'])
    def route(name, prefix):
        return dict(name=name, host='h.example', pathPrefix=prefix, kind='unsafe', timeoutMs=3000, targetLatencyMs=600, priority=0,
            service='alpha', maxAttempts=2, slackFactor=2)
    async def configure(version, routes):
        doc = dict(version=version, routes=routes, services=[dict(name='alpha', healthPath='/healthz', maxConns=64, protocol='h1', tls=False,
            enforceLimits=True, standby=False)], limits=dict(maxHeaderBytes=16384, maxBodyBytes=262144, headerTimeoutMs=3000, idleTimeoutMs=15000))
        for _ in range(100):
            st, d, a = await site.control_call('POST', '/-/config/replace', doc)
            if st == 200:
                w.rec('configuration %d acknowledged, routes %s' % (version, [r['pathPrefix'] for r in routes])); return True
            await asyncio.sleep(.2)
        return False
    async def client(prefix):
        """Hands in a job and asks for its state, with four retries, at any node."""
        jid = '%016x' % random.getrandbits(64); doc = dict(spec='s', phases=[dict(count=2, cpu=500, memMb=64, estimateMs=300)])
        w.jobs[jid] = dict(doc=doc, work=[.3], lasts=False, services={'alpha'}, attempts=2, queue=prefix, cancel=None, advice=False)
        for method in ('POST', 'GET'):
            for n, g in enumerate((site.gates * 2)[:5]):
                st, d, h = await call(site.front(g), method, prefix + jid, doc if method == 'POST' else None, host='h.example', headers={'Lycheetrestle-Deadline-Ms': '3000'})
                w.rec(method, prefix + jid, 'at', g, '->', st, d)
                if st in (200, 404, 410): break
                await asyncio.sleep(.1 * 2 ** n)
            if st == 404: w.breaks('CONFIG', '%s %s: refused with 404 though the route is there' % (method, prefix + jid)); return
    try:
        site.start()
        for i in range(1, 5):
            ex = Executor(w, i, 'alpha', 'i-%d' % i); w.add(ex); await ex.start()
        if not await configure(1, [route('r', '/plots/')]): return 2
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        for _ in range(4): await client('/plots/')
        if w.broken: return 2
        prefix = '/plots/'
        if TROUBLE:
            prefix = '/gate'
            if not await configure(2, [route('r', '/plots/'), route('s', prefix)]): return 2
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        for _ in range(10): await client(prefix)
        await asyncio.sleep(1)
        return 1 if w.broken else 0
    finally:
        site.stop()
        for ex in w.execs: ex.crash('end')
        (HERE / 'record.txt').write_text('\n'.join(w.log) + '\n')

if __name__ == '__main__':
    code = asyncio.run(main())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code]); sys.exit(code)
