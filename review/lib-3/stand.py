"""Stand-ins for the cases 11 to 15, all in one asyncio loop: a deployment of the project's
own programs on loopback addresses (Site), executors that do what PROTOCOL.md says (Executor),
and the record of what was sent, answered and run, with the rules on starts (World)."""
import asyncio, json, os, pathlib, random, re, shutil, signal, socket, subprocess, sys, tempfile, time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = dict(maxHoldMs=10000, gangTimeoutMs=3000, stopTimeoutMs=200, drainMs=2000, cancel_ms=3000,
              migrateS=1.5, maintenanceS=2.0)
now = time.monotonic
LOCKS = []
# A script that is ended from outside ends its processes, too.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

async def read_message(r):
    head = await r.readuntil(b'\r\n\r\n')
    lines = head.decode('latin1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            k, v = line.split(':', 1); headers[k.strip().lower()] = v.strip()
    n = int(headers.get('content-length', 0))
    body = await r.readexactly(n) if n else b''
    return lines[0], headers, body

async def serve(ip, port, handler):
    """handler(method, target, headers, body, conn) -> (status, dict|None) or None: no answer."""
    conns = set()
    async def on(r, w):
        conns.add(w)
        try:
            while True:
                first, headers, body = await read_message(r)
                method, target, _ = first.split(' ', 2)
                result = await handler(method, target, headers, body)
                if result is None:
                    await asyncio.sleep(30); return
                status, doc = result
                data = json.dumps(doc).encode() if doc is not None else b''
                w.write(('HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (status, len(data))).encode() + data)
                await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError): pass
        finally:
            conns.discard(w); w.close()
    server = await asyncio.start_server(on, ip, port)
    server.conns = conns
    return server

def stop_server(server):
    server.close()
    for w in list(server.conns): 
        try: w.transport.abort()
        except Exception: pass

async def call(addr, method, target, doc=None, host=None, timeout=3.0, headers=None):
    """-> (status, doc, headers) or (0, None, {})"""
    async def go():
        ip, port = addr.rsplit(':', 1)
        r, w = await asyncio.open_connection(ip, int(port))
        try:
            data = json.dumps(doc).encode() if doc is not None else b''
            h = 'Host: %s\r\n' % (host or addr)
            for k, v in (headers or {}).items(): h += '%s: %s\r\n' % (k, v)
            w.write(('%s %s HTTP/1.1\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (method, target, h, len(data))).encode() + data)
            await w.drain()
            first, hs, body = await read_message(r)
            st = int(first.split(' ')[1])
            try: d = json.loads(body) if body else None
            except ValueError: d = None
            return st, d, hs
        finally: w.close()
    try: return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError): return 0, None, {}

def free_net():
    """A loopback net whose addresses nothing else uses."""
    for net in random.sample(range(20, 250), 200):
        lock, probe = socket.socket(), socket.socket()
        try:
            probe.bind(('127.%d.0.1' % net, 8623))
            lock.bind(('127.%d.0.254' % net, 8623)); LOCKS.append(lock)   # Held: scripts may run beside each other.
            return net
        except OSError: lock.close()
        finally: probe.close()
    raise SystemExit(2)

class Site:
    def __init__(self, net=None, schedulers=3, gateways=2, platform=False, adviser=False, programs=None, log=None):
        net = net or free_net(); self.net = net; self.seeds = None; self.diskless = set(); self.dir = pathlib.Path(tempfile.mkdtemp(prefix='lt-'))
        self.sched = list(range(1, schedulers + 1)); self.gates = list(range(11, 11 + gateways))
        self.bin = pathlib.Path(programs or ROOT / 'target/bin') / 'lycheetrestled'
        self.procs = {}; self.has_platform = platform; self.has_adviser = adviser; self.first = True
    def ip(self, i): return '127.%d.0.%d' % (self.net, i)
    def control(self, i): return '%s:8623' % self.ip(i)
    def front(self, i): return '%s:8624' % self.ip(i)
    def start_sched(self, i, founding=False):
        data = self.dir / ('data-%d' % i); data.mkdir(exist_ok=True)
        s = dict(role='scheduler', name='frontend-%d' % i, address=self.ip(i), listen=self.control(i), metrics='%s:9464' % self.ip(i),
            link_port=7060, seeds=[self.control(k) for k in self.seeds or self.sched[:3]], founding=founding, data_folder='' if i in self.diskless else str(data), zone='z%d' % i,
            storage=dict(disk_mb=128), tolerated_losses=1,
            platform='%s:8621' % self.ip(250) if self.has_platform else '', adviser='%s:8621' % self.ip(251) if self.has_adviser else '',
            limits=dict(memory_mb=260, descriptors=4100), timing=dict(beat_ms=1500, max_lease_ms=BOUNDS['maxHoldMs'], move_s=BOUNDS['migrateS'], upkeep_s=BOUNDS['maintenanceS']))
        self.launch('s%d' % i, s)
    def start_gate(self, i):
        s = dict(role='gateway', name='frontend-%d' % i, address=self.ip(i), listen=self.front(i), readiness='%s:8622' % self.ip(i), metrics='%s:9465' % self.ip(i),
            link_port=7075, scheduler_link_port=7060, seeds=[self.control(k) for k in self.seeds or self.sched[:3]], limits=dict(memory_mb=260, descriptors=4100))
        self.launch('g%d' % i, s)
    def launch(self, name, settings):
        p = self.dir / (name + '.jsonc'); p.write_text(json.dumps(settings))
        out = open(self.dir / (name + '.log'), 'ab')
        self.procs[name] = subprocess.Popen([str(self.bin)], env={'LYCHEETRESTLE_BOOT': str(p), 'PATH': os.environ['PATH']}, cwd=str(ROOT), stdout=out, stderr=out, stdin=subprocess.DEVNULL)
    def start(self):
        for i in self.sched: self.start_sched(i, True)
        for i in self.gates: self.start_gate(i)
    def signal(self, name, sig):
        if self.procs[name].poll() is None: self.procs[name].send_signal(sig)
    def kill(self, name):
        self.signal(name, signal.SIGKILL); self.procs[name].wait()
    def stop(self, keep=False):
        for p in self.procs.values():
            if p.poll() is None: p.kill(); p.wait()
        if not keep: shutil.rmtree(self.dir, ignore_errors=True)
    async def control_call(self, method, target, doc=None, at=None, timeout=1.0):
        """any scheduler, follows 307 twice"""
        order = list(self.sched); random.shuffle(order)
        if at: order = [at]
        for i in order:
            addr = self.control(i)
            for _ in range(3):
                st, d, h = await call(addr, method, target, doc, timeout=timeout)
                if st == 307: addr = h['location'].split('/')[2]; continue
                break
            if st and st < 500 and st != 307 and st not in (408, 429): return st, d, addr
        return 0, None, None
    async def leader(self):
        for i in self.sched:
            if self.procs['s%d' % i].poll() is not None: continue
            st, d, h = await call(self.control(i), 'GET', '/-/config/read', timeout=.4)
            if st == 200: return i
        return None

class Run:
    __slots__ = ('task','attempt','began','work','done','saved','lasts','startup','gang','fails','percent','ready','checkpoint','stopping','pace','serial')

class Executor:
    """One life of an executor."""
    serial = 0
    def __init__(self, world, index, service, eid, capacity=None, labels=None, host=None):
        self.w, self.index, self.service, self.id = world, index, service, eid
        self.ip = '127.%d.1.%d' % (world.site.net, index); self.port = 8080
        self.addr = '%s:%d' % (self.ip, self.port)
        self.capacity = capacity or dict(cpu=8000, memMb=8192, gpu=0); self.labels = labels or ['a', 'r%d' % (index % 3)]
        self.born = int(time.time() * 1000); self.t0 = now(); self.offset = random.randrange(0, 500000); self.rate = random.uniform(.98, 1.0)
        self.fence = 0; self.running = {}; self.high = {}; self.finished = []; self.n = 0; self.lease = 0; self.seq = 0
        self.state = 'ready'; self.up = True; self.cut = False; self.oneway = False; self.late = 0.0; self.lose = 0.0; self.drain_ack = None
        self.event = asyncio.Event(); self.server = None; self.tasks = []; self.hb_addr = None; self.remaining = 0; self.drain_at = None
        self.enforce = world.enforce; self.key = '%s/%d' % (eid, self.born); self.was_cut = False; self.errors = 0.0; self.lapsed_at = []; self.lapsed_lease = 0; self.ends_at = {}
    def clock(self): return int(self.offset + (now() - self.t0) * 1000 * self.rate)
    async def start(self):
        for _ in range(50):
            try: self.server = await serve(self.ip, self.port, self.handle); break
            except OSError: await asyncio.sleep(.1)
        self.tasks = [asyncio.create_task(self.beats()), asyncio.create_task(self.tick())]
    def report(self):
        d = dict(service=self.service, addr=self.addr, zone='z%d' % (self.index % 3 + 1), version='v1', slots=8, state=self.state, coldLeftMs=0,
                 capacity=self.capacity, labels=self.labels, clockMs=self.clock(), seq=self.seq, born=self.born)
        if self.state == 'draining': d['remainingMs'] = max(0, int((self.remaining - now()) * 1000))
        return d
    async def tell(self, path, doc):
        order = list(self.w.site.sched); random.shuffle(order)
        addrs = ([self.hb_addr] if self.hb_addr else []) + [self.w.site.control(i) for i in order]
        for a in addrs:
            if not self.up: return False
            for _ in range(3):
                if self.cut: await asyncio.sleep(1); st = 0; break
                st, d, h = await call(a, 'POST', path, doc, timeout=1.0)
                if st == 307: a = h['location'].split('/')[2]; continue
                break
            if 200 <= st < 300:
                self.hb_addr = (d or {}).get('heartbeatAddr'); return True
            if a == self.hb_addr: self.hb_addr = None
        return False
    async def beats(self):
        while self.up:
            self.seq += 1; st = self.state
            ok = await self.tell('/-/instances/%s/heartbeat' % self.id, self.report())
            if ok and st == 'draining' and self.drain_ack is None:
                self.drain_ack = now(); self.w.rec('drain-ack', self.key)
            await asyncio.sleep(1.5 * random.uniform(.9, 1.1))
    async def drain(self, linger):
        self.state = 'draining'; self.remaining = now() + BOUNDS['drainMs'] / 1000 + linger; self.w.rec('draining', self.key)
        end = now() + 12
        self.seq += 1
        if await self.tell('/-/instances/%s/heartbeat' % self.id, self.report()):
            if self.drain_ack is None: self.drain_ack = now()
        while self.up and now() < end and (self.drain_ack is None or now() < self.drain_ack + BOUNDS['drainMs'] / 1000 + linger): await asyncio.sleep(.05)
        if not self.up: return
        for task in list(self.running): self.end(task, 'stopped')
        await asyncio.wait_for(self.tell('/-/instances/%s/deregister' % self.id, dict(born=self.born)), 3)
        self.crash('left')
    def crash(self, why='crash'):
        if not self.up: return
        self.up = False; self.w.rec(why, self.key)
        for t in list(self.running.values()): self.w.run_gone(self, t)
        self.running = {}
        if self.server: stop_server(self.server)
        for t in self.tasks: t.cancel()
    def alive(self): return self.up and self.clock() < self.lease
    async def tick(self):
        while self.up:
            await asyncio.sleep(.02)
            self.settle()
    def settle(self):
        if self.lease and self.clock() >= self.lease and self.lease != self.lapsed_lease:
            self.lapsed_lease = self.lease
            self.lapsed_at.append(now()); self.w.rec('lapse', self.key)
        if self.running and self.clock() >= self.lease:
            for task in list(self.running): self.end(task, 'lapsed')
        t = now()
        for task, r in list(self.running.items()):
            if task not in self.running: continue
            j = self.w.spec_of(task)
            if r.gang:
                g = self.w.gang(task, r.attempt)
                if g['began'] is None:
                    if t - r.began > BOUNDS['gangTimeoutMs'] / 1000: self.end(task, 'alone')
                    continue
                r.done = t - g['began']
            else: r.done = t - r.began
            if r.lasts:
                r.percent = min(100, int(100 * r.done / .9)); continue
            if r.fails and r.done >= r.work * .6: self.end(task, 'failed'); continue
            if r.done >= r.work: self.end(task, 'done'); continue
            r.percent = int(100 * r.done / r.work)
            if j['step'].get('checkpointable') and r.done + r.ready >= 1: r.saved = 'c%08x%s' % (int((r.done + r.ready) * 10), task[:4]); self.w.checkpoint(task, r.saved)
    def end(self, task, how, silent=False):
        r = self.running.pop(task); self.high[task] = max(self.high.get(task, 0), r.attempt)
        self.n += 1; self.finished.append([self.n, task, r.attempt, how, r.saved if how in ('stopped', 'lapsed', 'broken') else ''])
        if how != 'stopped' and how != 'lapsed': self.finished[-1][4] = ''
        self.ends_at[self.n] = now(); self.w.ended(self, r, how, self.n); self.event.set()
        if r.gang:
            g = self.w.gang(task, r.attempt); g['members'].discard((self.key, task))
            if how == 'done' or g['began'] is not None:
                for key, other in list(g['members']):
                    ex = self.w.by_key.get(key)
                    if ex and ex.up and other in ex.running: ex.end(other, 'done' if how == 'done' else 'broken')
    async def handle(self, method, target, headers, body):
        if not self.up or self.cut: return None
        doc = json.loads(body) if body else {}
        if headers.get('lycheetrestle-expect-instance', self.id) != self.id: return 421, {}
        if target.startswith('/-/run-') and random.random() < self.errors: return 503, {}
        if self.late and random.random() < self.late and target in ('/-/run-start', '/-/run-stop', '/-/pace'):
            async def later(me=self.id, ip=self.ip):
                await asyncio.sleep(random.uniform(2, 11.5))
                ex = self.w.at.get((ip, me))     # whoever answers there by then, if its id is right
                if ex and ex.up and not ex.cut: ex.apply(target, doc, late=True)
            asyncio.create_task(later()); return None
        res = self.apply(target, doc)
        if res[0] == 200 and target == '/-/hold':
            end = now() + min(2000, doc.get('waitMs', 0)) / 1000
            while self.up and not self.finished and now() < end:
                self.event.clear()
                try: await asyncio.wait_for(self.event.wait(), max(.001, end - now()))
                except asyncio.TimeoutError: pass
            if not self.up or self.cut: return None
            self.settle(); res = 200, self.lists()
        if self.lose and random.random() < self.lose: return None
        st, d = res; d = dict(d); d['clockMs'] = self.clock(); d['born'] = self.born
        if target != '/-/hold': d.pop('born', None)
        return st, d
    def lists(self):
        return dict(running=[[t, r.attempt, r.saved, r.percent, 100] for t, r in self.running.items()], finished=[list(f) for f in self.finished[:500]])
    def apply(self, target, d, late=False):
        self.settle()
        f = d.get('fence', 0)
        if f < self.fence: return 409, dict(reason='fence')
        self.fence = f
        if target == '/-/run-start':
            task, att = d['task'], d['attempt']
            dl = min(d['deadlineMs'], self.clock() + BOUNDS['maxHoldMs'])
            if task in self.running and self.running[task].attempt == att:
                self.lease = max(self.lease, dl); return 200, {}
            if att <= self.high.get(task, 0) or task in self.running:
                self.lease = max(self.lease, dl); return 409, dict(reason='old')
            if dl <= self.clock(): return 409, dict(reason='late')
            if not self.w.ticket_ok(self, task, d.get('ticket')): return 409, dict(reason='ticket')
            self.lease = max(self.lease, dl)
            j = self.w.spec_of(task)
            if self.enforce and j and not self.fits(j['step']): return 409, dict(reason='room')
            self.begin(task, att, d, j, late); return 200, {}
        if target == '/-/run-stop':
            task, att = d['task'], d['attempt']
            self.high[task] = max(self.high.get(task, 0), att)
            if task in self.running and self.running[task].attempt <= att: 
                r = self.running[task]
                asyncio.get_running_loop().call_later(random.uniform(0, .15), lambda: self.up and self.running.get(task) is r and self.end(task, 'stopped'))
            return 200, {}
        if target == '/-/hold':
            if 'deadlineMs' in d: self.lease = max(self.lease, min(d['deadlineMs'], self.clock() + BOUNDS['maxHoldMs']))
            c = d.get('ackCursor', 0)
            for e in self.finished:
                if e[0] <= c: self.w.noted(self, e)
            self.finished = [e for e in self.finished if e[0] > c]
            return 200, self.lists()
        if target == '/-/pace': return 200, {}
        return 404, {}
    def fits(self, step):
        u = dict(cpu=0, memMb=0, gpu=0)
        for t in self.running:
            s = self.w.spec_of(t)['step']
            for k in u: u[k] += 0 if k == 'cpu' and s.get('fills') else s.get(k, 0)
        return all(u[k] + (0 if k == 'cpu' and step.get('fills') else step.get(k, 0)) <= self.capacity.get(k, 0) for k in u)
    def begin(self, task, att, d, j, late):
        r = Run(); r.task, r.attempt, r.began = task, att, now(); r.saved = d.get('checkpoint', ''); r.percent = 0; r.done = 0; r.pace = 100
        Executor.serial += 1; r.serial = Executor.serial
        s = j['step'] if j else {}
        r.lasts = bool(s.get('longRunning')); r.gang = bool(s.get('gang')) and s.get('count', 1) > 1
        r.ready = 0; r.checkpoint = d.get('checkpoint', '')
        m = re.match(r'c([0-9a-f]{8})', r.checkpoint)
        if m: r.ready = int(m.group(1), 16) / 10
        work = j['work'] if j else 1
        r.work = max(.1, work - r.ready); r.fails = self.w.fails(task, att)
        self.w.started(self, r, d, late)
        self.running[task] = r
        if r.gang:
            g = self.w.gang(task, att); g['members'].add((self.key, task))
            if g['began'] is None and len(g['members']) == s.get('count', 1): g['began'] = now()

class World:
    def __init__(self, site, services, enforce=True):
        self.site = site; self.enforce = enforce; self.jobs = {}; self.execs = []; self.by_key = {}; self.at = {}; self.gangs = {}
        self.active = {}; self.broken = []; self.log = []; self.t0 = now(); self.done = {}; self.notes = {}; self.failed = {}; self.saved = {}; self.cancelled = {}
        self.starts = {}; self.step_on = {}; self.advice = {}; self.tickets = {}; self.maxatt = {}; self.quiet = False
    def rec(self, *a): self.log.append('%9.3f %s' % (now() - self.t0, ' '.join(map(str, a))))
    def breaks(self, rule, text): self.broken.append((rule, text)); self.rec('BROKEN', rule, text)
    def add(self, ex): self.execs.append(ex); self.by_key[ex.key] = ex; self.at[(ex.ip, ex.id)] = ex
    def parse(self, task):
        a = task.rsplit('.', 3); return a[0], int(a[1]), int(a[2]), int(a[3])
    def spec_of(self, task):
        j, k, s, i = self.parse(task)
        job = self.jobs.get(j)
        if not job or s >= len(job['doc']['phases']): return None
        return dict(job=job, step=job['doc']['phases'][s], work=job['work'][s])
    def fails(self, task, att):
        j, k, s, i = self.parse(task); job = self.jobs.get(j)
        return bool(job and job.get('fail', {}).get((s, i), 0) >= att)
    def gang(self, task, att):
        j, k, s, i = self.parse(task); return self.gangs.setdefault((j, k, s, att), dict(members=set(), began=None))
    def checkpoint(self, task, c):
        j, k, s, i = self.parse(task); self.saved.setdefault((j, k, s, i), set()).add(c); self.saved.setdefault((j, k, s), set()).add(c)
    def ticket_ok(self, ex, task, ticket):
        j, k, s, i = self.parse(task); job = self.jobs.get(j)
        if not job or not job.get('advice'): return True
        t = self.tickets.get(ticket)
        return bool(t and t[0] == (j, k, s) and t[1] == ex.key and now() < t[2])
    def started(self, ex, r, d, late):
        task = r.task; j, k, s, i = self.parse(task); job = self.jobs.get(j)
        self.rec('start', task, r.attempt, ex.key, 'late' if late else '', d.get('checkpoint', ''))
        if not job: return self.breaks('UNASKED', 'start of %s that nobody sent' % task)
        step = job['doc']['phases'][s] if s < len(job['doc']['phases']) else None
        if step is None or i >= step.get('count', 1) or k >= max(1, job['doc'].get('repeatCount', 0)): return self.breaks('UNASKED', 'start of %s' % task)
        if d['spec'] != job['doc'].get('spec', ''): self.breaks('UNASKED', 'spec of %s' % task)
        c = d.get('checkpoint', '')
        if c and c not in self.saved.get((j, k, s) if step.get('gang') else (j, k, s, i), set()): self.breaks('UNASKED', 'checkpoint %s of %s' % (c, task))
        if not step.get('speculative'):
            for other, o in list(self.active.get(task, {}).items()):
                if other[0].up and other[0].clock() < other[0].lease + 0 and o in other[0].running.values():
                    self.breaks('TWICE', '%s attempt %d on %s while attempt %d on %s%s' % (task, r.attempt, ex.key, o.attempt, other[0].key, ' (late)' if late else ''))
            if task in self.notes: self.breaks('TWICE', '%s attempt %d on %s after noted done %s' % (task, r.attempt, ex.key, self.notes[task]))
            elif not step.get('longRunning'): self.starts.setdefault(task, []).append((ex.key, r.attempt, now()))
        self.active.setdefault(task, {})[(ex, r.serial)] = r
        for dep in step.get('dependsOn', []):
            st = job['doc']['phases'][dep]
            n = 1 if st.get('gang') else st.get('count', 1)
            have = sum(1 for x in range(st.get('count', 1)) if '%s.%d.%d.%d' % (j, k, dep, x) in self.done)
            if have < n: self.breaks('ORDER', '%s before step %d (%d of %d)' % (task, dep, have, n))
        if job['doc'].get('repeatCount'):
            due = job['doc'].get('startAtMs', 0) + k * job['doc'].get('intervalMs', 0)
            if time.time() * 1000 < due - 250: self.breaks('ORDER', '%s started %d ms early' % (task, due - time.time() * 1000))
        if step.get('requiredLabel') and step['requiredLabel'] not in ex.labels: self.breaks('ROUTE', '%s on %s without label%s' % (task, ex.key, ' (late)' if late else ''))
        if ex.service not in job['services']: self.breaks('ROUTE', '%s on service %s%s' % (task, ex.service, ' (late)' if late else ''))
        m = step.get('maxPerServer', 0)
        if m and sum(1 for t in ex.running if self.parse(t)[:3] == (j, k, s)) + 1 > m: self.breaks('ROUTE', '%s beyond maxPerServer on %s%s' % (task, ex.key, ' (late)' if late else ''))
        if not ex.enforce and not ex.fits(step): self.breaks('LIMIT', '%s over capacity of %s%s' % (task, ex.key, ' (late)' if late else ''))
        f = self.failed.get(task, 0)
        if not step.get('longRunning') and f >= job['attempts']: self.breaks('BUDGET', '%s start after %d failed' % (task, f))
        c = self.cancelled.get(j)
        if c and c[1] and now() - c[1] > BOUNDS['cancel_ms'] / 1000 and not late: self.breaks('UNASKED', '%s started %.2f s after cancel ack' % (task, now() - c[1]))
        if ex.drain_ack and now() - ex.drain_ack > BOUNDS['drainMs'] / 1000 and not late: self.breaks('DRAIN', '%s on %s %.2f s after ack' % (task, ex.key, now() - ex.drain_ack))
        if job.get('rejected') and not job.get('maybe'): self.breaks('REFUSED', task)
        job['last_run'] = now()
    def run_gone(self, ex, r): self.active.get(r.task, {}).pop((ex, r.serial), None)
    def ended(self, ex, r, how, n):
        self.rec('end', r.task, r.attempt, how, ex.key, n); self.run_gone(ex, r)
        if how == 'done': self.done.setdefault(r.task, [])
        if how == 'alone' : self.rec('ALONE', r.task)
        j = self.jobs.get(self.parse(r.task)[0]); 
        if j: j['last_end'] = now()
    def noted(self, ex, e):
        n, task, att, how, _ = e; self.rec('noted', task, att, how, ex.key)
        if how == 'done':
            st = self.spec_of(task)['step']
            if any(t >= ex.ends_at[n] for t in ex.lapsed_at): return   # the lease lapsed between the two
            if task not in self.notes:
                self.notes[task] = '%s by %s' % (att, ex.key)
                for key, a, t in self.starts.get(task, []):
                    if t > ex.ends_at[n] and not st.get('speculative') and not st.get('gang'): self.breaks('TWICE', '%s attempt %d started on %s after attempt %d ended done on %s (noted now)' % (task, a, key, att, ex.key))
        if how == 'failed': self.failed[task] = self.failed.get(task, 0) + 1
