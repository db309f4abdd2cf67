"""Runs the recipes of kazoo, a public ZooKeeper client, against the stand-in registry."""

import sys
import threading
import time
import traceback
import urllib.request

from kazoo.client import KazooClient, KazooState
from kazoo.exceptions import BadVersionError, NoAuthError, NodeExistsError, NoNodeError, NotEmptyError
from kazoo.exceptions import NoChildrenForEphemeralsError, RolledBackError, RuntimeInconsistency
from kazoo.recipe.cache import TreeCache
from kazoo.security import make_digest_acl

HOSTS, CONTROL = sys.argv[1], sys.argv[2]
failed = []


def control(path, method="POST"):
    request = urllib.request.Request(f"http://{CONTROL}{path}", method=method)
    return urllib.request.urlopen(request).read()


def client(**options):
    options.setdefault("hosts", HOSTS)
    c = KazooClient(timeout=4.0, **options)
    c.start(timeout=15)
    return c


def wait_until(condition, seconds=20):
    end = time.time() + seconds
    while not condition():
        assert time.time() < end, "timed out waiting for a condition"
        time.sleep(0.01)


def check(test):
    try:
        test()
        print("ok", test.__name__)
    except Exception:  # report the failure and run the remaining tests
        failed.append(test.__name__)
        print("FAIL", test.__name__)
        traceback.print_exc()


def node_operations():
    c = client()
    c.ensure_path("/a/b")
    assert c.create("/a/b/e", b"1", ephemeral=True) == "/a/b/e"
    names = [c.create("/a/b/s-", b"", sequence=True) for _ in range(3)]
    assert names == sorted(names) and len(set(names)) == 3 and names[0][-10:].isdigit()
    data, stat = c.get("/a/b/e")
    assert data == b"1" and stat.ephemeralOwner == c.client_id[0] and stat.version == 0
    assert c.set("/a/b/e", b"2", version=0).version == 1
    for call, error in [
        (lambda: c.set("/a/b/e", b"3", version=0), BadVersionError),
        (lambda: c.create("/a/b/e"), NodeExistsError),
        (lambda: c.create("/a/b/e/x"), NoChildrenForEphemeralsError),
        (lambda: c.delete("/a/b"), NotEmptyError),
        (lambda: c.get("/none"), NoNodeError),
    ]:
        try:
            call()
            raise AssertionError(error)
        except error:
            pass
    children, stat = c.get_children("/a/b", include_data=True)
    assert len(children) == 4 and stat.numChildren == 4
    assert c.exists("/none") is None and c.exists("/a").czxid > 0
    path, stat = c.create("/a/c2", b"x", include_data=True)
    assert path == "/a/c2" and stat.dataLength == 1
    c.sync("/a")
    other = client()
    c.stop()
    wait_until(lambda: other.exists("/a/b/e") is None)
    other.delete("/a", recursive=True)
    other.stop()


def watchers():
    c, d = client(), client()
    c.ensure_path("/w")
    seen, lists, ready = [], [], threading.Event()
    c.DataWatch("/w/x", lambda data, stat, event=None: seen.append(data))
    c.ChildrenWatch("/w", lambda names: (lists.append(sorted(names)), ready.set())[0])
    ready.wait(10)
    d.create("/w/x", b"1")
    wait_until(lambda: b"1" in seen)
    d.set("/w/x", b"2")
    wait_until(lambda: b"2" in seen)
    d.delete("/w/x")
    wait_until(lambda: seen[-1] is None)
    wait_until(lambda: ["x"] in lists and lists[-1] == [])
    d.delete("/w")
    c.stop()
    d.stop()


def caches():
    c, d = client(), client()
    c.ensure_path("/t/one/two")
    events = []
    cache = TreeCache(c, "/t")
    cache.listen(lambda event: events.append(event.event_type))
    cache.start()
    wait_until(lambda: cache.get_data("/t/one/two") is not None)
    d.create("/t/one/three", b"3")
    wait_until(lambda: cache.get_data("/t/one/three") and cache.get_data("/t/one/three").data == b"3")
    d.delete("/t/one/three")
    wait_until(lambda: cache.get_data("/t/one/three") is None)
    cache.close()
    d.delete("/t", recursive=True)
    c.stop()
    d.stop()


def locks():
    clients = [client() for _ in range(3)]
    inside, max_inside, done = [0], [0], [0]
    guard = threading.Lock()

    def work(c):
        for _ in range(5):
            with c.Lock("/lock", "me"):
                with guard:
                    inside[0] += 1
                    max_inside[0] = max(max_inside[0], inside[0])
                time.sleep(0.005)
                with guard:
                    inside[0] -= 1
                    done[0] += 1

    threads = [threading.Thread(target=work, args=(c,)) for c in clients]
    [t.start() for t in threads]
    [t.join(30) for t in threads]
    assert done[0] == 15 and max_inside[0] == 1, (done, max_inside)
    semaphore = clients[0].Semaphore("/sem", max_leases=2)
    assert semaphore.acquire() and semaphore.release()
    [c.stop() for c in clients]


def elections():
    clients, leaders = [client() for _ in range(3)], []
    threads = [
        threading.Thread(target=c.Election("/election", str(n)).run, args=(leaders.append, n))
        for n, c in enumerate(clients)
    ]
    [t.start() for t in threads]
    [t.join(30) for t in threads]
    assert sorted(leaders) == [0, 1, 2], leaders
    [c.stop() for c in clients]


def queues_parties_barriers_counters():
    c, d = client(), client()
    queue = c.Queue("/queue")
    [queue.put(str(n).encode()) for n in range(5)]
    assert [d.Queue("/queue").get() for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
    locking = c.LockingQueue("/lqueue")
    locking.put(b"x")
    assert locking.get(timeout=5) == b"x" and locking.consume()
    one, two = c.Party("/party", "one"), d.Party("/party", "two")
    one.join()
    two.join()
    wait_until(lambda: sorted(one) == ["one", "two"])
    two.leave()
    wait_until(lambda: list(one) == ["one"])
    barrier = c.Barrier("/barrier")
    barrier.create()
    threading.Timer(0.1, barrier.remove).start()
    assert d.Barrier("/barrier").wait(10)
    counter = c.Counter("/counter", default=0)
    counter += 3
    assert d.Counter("/counter").value == 3
    c.stop()
    d.stop()


def transactions():
    c = client()
    t = c.transaction()
    t.create("/tx", b"1")
    t.create("/tx/a", b"2")
    t.set_data("/tx", b"3", version=0)
    t.check("/tx", version=1)
    assert t.commit()[:2] == ["/tx", "/tx/a"] and c.get("/tx")[0] == b"3"
    t = c.transaction()
    t.create("/tx/b")
    t.delete("/none")
    t.create("/tx/c")
    results = t.commit()
    assert isinstance(results[0], RolledBackError), results
    assert isinstance(results[1], NoNodeError) and isinstance(results[2], RuntimeInconsistency), results
    assert c.get_children("/tx") == ["a"]
    c.delete("/tx", recursive=True)
    c.stop()


def access_lists():
    owner = client(auth_data=[("digest", "u:p")])
    stranger = client()
    acl = make_digest_acl("u", "p", all=True)
    owner.create("/secret", b"s", acl=[acl])
    for call in [lambda: stranger.get("/secret"), lambda: stranger.set("/secret", b""), lambda: stranger.create("/secret/x")]:
        try:
            call()
            raise AssertionError("access without permission succeeded")
        except NoAuthError:
            pass
    assert owner.get("/secret")[0] == b"s" and owner.get_acls("/secret")[0][0].id == acl.id
    stranger.add_auth("digest", "u:p")
    assert stranger.get("/secret")[0] == b"s"
    owner.delete("/secret")
    owner.stop()
    stranger.stop()


def killed_session():
    c, d = client(), client()
    states = []
    c.add_listener(states.append)
    first = c.client_id[0]
    c.create("/dies", b"", ephemeral=True)
    control(f"/kill?session={first}")
    wait_until(lambda: d.exists("/dies") is None)
    wait_until(lambda: KazooState.LOST in states and c.connected and c.client_id[0] != first)
    c.stop()
    d.stop()


def stopped_and_lagging_members():
    c = client(randomize_hosts=False)
    first = c.client_id[0]
    c.create("/keeps", b"1", ephemeral=True)
    seen = []
    c.DataWatch("/keeps", lambda data, stat, event=None: seen.append(data))
    wait_until(lambda: seen)
    control("/drop?member=1&on=1")
    wait_until(lambda: c.retry(c.exists, "/keeps"), 30)
    assert c.client_id[0] == first, "the session was lost when its member went down"
    d = client(hosts=",".join(HOSTS.split(",")[1:]))
    d.retry(d.set, "/keeps", b"2")
    wait_until(lambda: b"2" in seen)
    control("/drop?member=1&on=0")
    control("/lag?member=3&ms=400")
    lagging = client(hosts=HOSTS.split(",")[2])
    d.set("/keeps", b"3")
    lagging.sync("/keeps")
    assert lagging.get("/keeps")[0] == b"3", "sync returned before the lagging member had caught up"
    control("/lag?member=3&ms=0")
    [x.stop() for x in (c, d, lagging)]


for test in [node_operations, watchers, caches, locks, elections, queues_parties_barriers_counters, transactions, access_lists,
             killed_session, stopped_and_lagging_members]:
    check(test)
print({"failed": failed})
sys.exit(1 if failed else 0)
