//! What one route, tenant, other node, name of a lease or idle service costs a node: memory by the growth of a process's resident
//! set, processor time by its own clock, messages by their length.
//!
//! ```text
//! cargo run --release -p reelfall-capacity --example state_size -- routes|tenants|peers|names|count SIZE SIZE...
//! cargo run --release -p reelfall-capacity --example state_size -- words
//! cargo run --release -p reelfall-capacity --example state_size -- rest|together PROGRAM SERVICES SERVICES...
//! ```
//!
//! Each size has a process of its own, so that none holds what another has freed. The line through the sizes is given with the
//! standard error of its slope.

use reelfall_cluster::entry::{BanId, Entry, Finding, Key, Report, ServerInstance, Value, Version};
use reelfall_cluster::fleet::{Config, Fleet};
use reelfall_cluster::freshness::ClockEcho;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::{AppMessage, Header, MemberState, MemberUpdate, Secret, Writer};
use reelfall_config::model::{Located, Model, Route, Tenant};
use reelfall_config::{check, reader, Plan};
use reelfall_lease::keeper::{self, Keeper};
use reelfall_lease::message::{
    ClientId, LogPosition, Message, PeerMessage, Promise, Request, Response, StorageId, Vote,
};
use reelfall_lease::token::LeaseName;
use reelfall_routing::shared_servers::{ListedState, ServerStatus, SharedServers};
use reelfall_routing::table::Host;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// What a child has measured, by name.
type Figures = BTreeMap<String, f64>;

fn main() -> Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words
        .iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .as_slice()
    {
        ["one", what, size] => one(what, size.parse()?),
        ["words"] => lengths(),
        ["rest", program, sizes @ ..] => sweep("rest", sizes, |size| rest(program, size, false)),
        ["together", program, sizes @ ..] => {
            sweep("together", sizes, |size| rest(program, size, true))
        }
        [what, sizes @ ..] if !sizes.is_empty() => sweep(what, sizes, |size| child(what, size)),
        _ => Err("say what to measure, and at which sizes".into()),
    }
}

/// Measures at each size and fits lines.
fn sweep(what: &str, sizes: &[&str], measure: impl Fn(usize) -> Result<Figures>) -> Result<()> {
    let mut points: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for size in sizes {
        let size: usize = size.parse()?;
        for (figure, value) in measure(size)? {
            println!("{what} {size}: {figure} {value:.6e}");
            points.entry(figure).or_default().push((size as f64, value));
        }
    }
    for (figure, points) in points.iter().filter(|(_, points)| points.len() > 2) {
        let (slope, error) = line(points);
        println!("{what}: {figure} grows by {slope:.4e} for each, standard error {error:.1e}");
    }
    Ok(())
}

/// The slope of the line of least squares, and its standard error.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let left: f64 = points
        .iter()
        .map(|p| (p.1 - y - slope * (p.0 - x)).powi(2))
        .sum();
    (slope, (left / (n - 2.0) / spread).sqrt())
}

fn child(what: &str, size: usize) -> Result<Figures> {
    let program = std::env::current_exe()?;
    let done = Command::new(program)
        .args(["one", what, &size.to_string()])
        .output()?;
    if !done.status.success() {
        return Err(String::from_utf8_lossy(&done.stderr).into_owned().into());
    }
    let text = String::from_utf8(done.stdout)?;
    let figure = |line: &str| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    Ok(text.lines().filter_map(figure).collect())
}

fn one(what: &str, size: usize) -> Result<()> {
    let figures = match what {
        "routes" => routes(size)?,
        "tenants" => tenants(size)?,
        "peers" => peers(size)?,
        "names" => names(size)?,
        "count" => count(size),
        _ => return Err(format!("`{what}` is not measured here").into()),
    };
    figures
        .iter()
        .for_each(|(name, value)| println!("{name} {value:e}"));
    Ok(())
}

/// Bytes that this process, or another one, has in memory.
fn resident(process: &str) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or("no resident set is told")?;
    let kib: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kib * 1024.0)
}

/// Seconds that `what` takes for one, of so many.
fn timed(times: usize, mut what: impl FnMut(usize)) -> f64 {
    let begun = Instant::now();
    (0..times).for_each(&mut what);
    begun.elapsed().as_secs_f64() / times as f64
}

// ---- what a plan holds ----

const SERVICE: &str = r#"
[[listener]]
name = "public"
address = "127.0.0.1:8443"

[[service]]
name = "evaluate"

[[service.class]]
name = "evaluate"
repeat = "safe"
aim = "150ms"
deadline = "600ms"

[[service.member]]
name = "tenant"
quota = "3/s"

[[service.route]]
host = "flags.example.org"
path = "/api"
methods = ["GET"]
assign = "evaluate"

[[service.server]]
name = "flag-1"
address = "127.0.0.1:9001"
"#;

fn model() -> Result<Model> {
    Ok(reader::toml("state_size", SERVICE)?)
}

/// A plan with so many routes, 28 of each host.
fn routes(size: usize) -> Result<Figures> {
    let mut model = model()?;
    let service = model.services.first_mut().ok_or("no service")?;
    let first = service.value.routes.first().cloned().ok_or("no route")?;
    let before = resident("self")?;
    let route = |n: usize| {
        let host = Host::Exact(format!("service-{}.example.org", n / 28).into());
        let path = format!("/v1/resource-{n}").into();
        Located {
            value: Route {
                host,
                path,
                ..first.value.clone()
            },
            origin: first.origin.clone(),
        }
    };
    service.value.routes = (0..size).map(route).collect();
    let plan = check(model)?;
    let after = resident("self")?;
    black_box(&plan);
    Ok(Figures::from([("bytes".to_owned(), after - before)]))
}

/// A plan with so many tenants, what a pool makes of them, and what it is compared by.
fn tenants(size: usize) -> Result<Figures> {
    let mut model = model()?;
    let service = model.services.first_mut().ok_or("no service")?;
    let first = service.value.tenants.first().cloned().ok_or("no tenant")?;
    let before = resident("self")?;
    let member = |n: usize| Located {
        value: Tenant {
            name: format!("tenant-{n:07}"),
            ..first.value.clone()
        },
        origin: first.origin.clone(),
    };
    service.value.tenants = (0..size).map(member).collect();
    let plan: Plan = check(model)?;
    let service = plan.model.services.first().ok_or("no service")?;
    let made = plan.settings(service);
    // What a pool is compared by, and the levels in its decision module.
    let key = service.tenants.clone();
    let levels = vec![(f64::NAN, 0.0); size];
    let after = resident("self")?;
    black_box((&made, &key, &levels));
    Ok(Figures::from([("bytes".to_owned(), after - before)]))
}

// ---- a fleet ----

fn secret() -> Result<Secret> {
    Ok(Secret::new(b"a key for measuring sizes alone", "measured")?)
}

fn node(n: usize) -> Node {
    let [a, b, c, ..] = (n as u32).to_le_bytes();
    let address = SocketAddr::from(([10, c, b, a], 7946));
    Node {
        name: format!("node-{n:04}"),
        address,
        incarnation: Incarnation {
            number: 3,
            tag: (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        },
    }
}

fn header(from: Node, to: u64, members: Vec<MemberUpdate>) -> Header {
    Header {
        from,
        to,
        sequence: 1_000_000,
        clock_us: 86_400_000_000,
        echo: Some(ClockEcho {
            clock_us: 86_400_000_000,
            elapsed_us: 500_000,
        }),
        requests_echo: false,
        newer_incarnation: None,
        swim: Vec::new(),
        anti_entropy: None,
        members,
    }
}

fn update(n: usize) -> MemberUpdate {
    MemberUpdate {
        node: node(n),
        swim_incarnation: 1,
        state: MemberState::Alive,
    }
}

fn datagram(secret: &Secret, header: &Header, entries: &[Entry]) -> Result<Vec<u8>> {
    let mut writer = Writer::new(header).ok_or("a header that does not fit")?;
    if entries.iter().all(|entry| writer.add(entry)) {
        return Ok(writer.seal(secret));
    }
    Err("verdicts that do not fit".into())
}

/// A node of a fleet of so many, each of which it has heard once.
fn peers(size: usize) -> Result<Figures> {
    let secret = secret()?;
    let me = node(0);
    let before = resident("self")?;
    let tag = me.incarnation.tag;
    let config = Config::default();
    let mut fleet = Fleet::new(&me.name, me.address, tag, config, secret.clone(), 7, 0.0);
    for n in 1..size {
        fleet.receive(
            0.1,
            &datagram(&secret, &header(node(n), tag, vec![update(n)]), &[])?,
        );
        while fleet.next_datagram().is_some() || fleet.next_event().is_some() {}
    }
    let after = resident("self")?;
    if fleet.members().count() + 1 != size {
        return Err(format!("{} others are known of {size}", fleet.members().count()).into());
    }
    // One word on a member, who is looked for among all.
    let mut again: Vec<Vec<u8>> = Vec::new();
    for n in 0..500 {
        let about = 1 + n * 7 % (size - 1);
        let header = Header {
            sequence: 2_000_000 + n as u64,
            ..header(node(1), tag, vec![update(about)])
        };
        again.push(datagram(&secret, &header, &[])?);
    }
    let word = timed(again.len(), |n| {
        fleet.receive(0.2, again.get(n).map_or(&[], Vec::as_slice))
    });
    while fleet.next_datagram().is_some() || fleet.next_event().is_some() {}
    // News is told to three others in each tenth of a second.
    fleet.ban(0.3, "server-1", "measured", None);
    let spread = timed(5, |n| {
        fleet.tick(0.3 + 0.1 * n as f64, 1000);
        while fleet.next_datagram().is_some() {}
    });
    Ok(Figures::from([
        ("bytes".to_owned(), after - before),
        ("word_seconds".to_owned(), word),
        ("spread_seconds".to_owned(), spread),
    ]))
}

/// The loop of a node that counts the servers of its lists, nineteen to a list.
fn count(size: usize) -> Figures {
    let lists: Vec<HashMap<u32, (String, f64)>> = (0..size.div_ceil(19))
        .map(|list| {
            let of = |n| {
                (
                    n as u32,
                    (
                        format!("service-{list}-server-{n}"),
                        1_790_000_000.0 + n as f64,
                    ),
                )
            };
            (0..19).map(of).collect()
        })
        .collect();
    let seconds = timed(5, |_| {
        let mut all = BTreeSet::new();
        for list in &lists {
            let servers: Vec<u32> = list.keys().copied().collect();
            let start = |id: u32| {
                let (name, since) = list.get(&id)?;
                Some(ServerInstance {
                    name: name.clone(),
                    since: (since * 1e3).round() as u64,
                })
            };
            all.extend(servers.into_iter().filter_map(start));
        }
        black_box(all.len());
    });
    Figures::from([
        ("seconds".to_owned(), seconds),
        ("lapse_seconds".to_owned(), lapse(size)),
        ("judge_seconds".to_owned(), judge(size.div_ceil(19))),
    ])
}

/// The loop that tells each of so many pools, of nineteen servers, of one server: seconds for one pool.
fn judge(pools: usize) -> f64 {
    let names = |pool: usize| {
        let of = |n| (format!("service-{pool}-server-{n}"), n);
        Rc::new(RefCell::new(
            (0..19).map(of).collect::<HashMap<String, u32>>(),
        ))
    };
    let all: Vec<_> = (0..pools).map(names).collect();
    let known: HashMap<usize, Weak<_>> = all.iter().map(Rc::downgrade).enumerate().collect();
    let told = timed(200, |n| {
        let name = format!("service-{}-server-3", n * 7 % pools);
        let peers: Vec<_> = known.values().filter_map(Weak::upgrade).collect();
        black_box(
            peers
                .into_iter()
                .filter_map(|pool| pool.borrow().get(&name).copied())
                .count(),
        );
    });
    told / pools as f64
}

/// The look through what lists say of so many servers, for words that no longer hold.
fn lapse(size: usize) -> f64 {
    let mut servers: SharedServers<SocketAddr, u32> = SharedServers::default();
    for n in 0..size {
        let state = ListedState {
            status: ServerStatus::Up,
            started_at: 0.0,
            knows_start: true,
        };
        servers.update(0.0, (n / 19) as u32, &node(n).address, Some(state));
    }
    timed(20, |n| {
        black_box(servers.expire(n as f64).len());
    })
}

// ---- leases ----

fn client(n: usize) -> ClientId {
    ClientId {
        name: format!("node-{n:04}"),
        tag: (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
    }
}

fn name(n: usize) -> Result<LeaseName> {
    Ok(LeaseName::try_from(format!(
        "asker/service-{:04}/zone-{:02}",
        n / 13,
        n % 13
    ))?)
}

/// A keeper by itself with so many names, all held.
fn names(size: usize) -> Result<Figures> {
    let (length, now) = (60_000_000, 1_000_000);
    let config = keeper::Config {
        max_leases: size,
        ..keeper::Config::default()
    };
    let mut keeper = Keeper::open(0, 1, config, Default::default(), 7, now);
    keeper.tick(now);
    let _ = keeper.take_effects();
    let before = resident("self")?;
    for n in 0..size {
        let (lease, ballot) = (name(n)?, 1);
        let request = Request::Prepare {
            lease: lease.clone(),
            round: 1,
            ballot,
            length,
            waited: 0,
        };
        keeper.handle_request(now, &client(n % 6000), request);
        let request = Request::Grant {
            lease,
            round: 1,
            token: ballot,
            length,
            peers: Vec::new(),
        };
        keeper.handle_request(now, &client(n % 6000), request);
        let _ = keeper.take_effects();
    }
    let after = resident("self")?;
    let held = keeper
        .leases(now)
        .filter(|lease| lease.remaining.is_some())
        .count();
    if held != size {
        return Err(format!("{held} names are held of {size}").into());
    }
    // The deadline is asked for before and after each turn.
    let scan = timed(20, |_| {
        black_box(keeper.deadline());
        black_box(keeper.deadline());
    });
    Ok(Figures::from([
        ("bytes".to_owned(), after - before),
        ("scan_seconds".to_owned(), scan),
    ]))
}

// ---- messages ----

fn lengths() -> Result<()> {
    let secret = secret()?;
    let says = |name: &str, bytes: usize| println!("{name}: {bytes} B");
    let plain = datagram(
        &secret,
        &header(node(5000), node(1).incarnation.tag, Vec::new()),
        &[],
    )?
    .len();
    says("head", plain);
    let members = header(
        node(5000),
        node(1).incarnation.tag,
        (2000..2010).map(update).collect(),
    );
    says(
        "member",
        (datagram(&secret, &members, &[])?.len() - plain) / 10,
    );
    let with = |entry: Entry| -> Result<usize> {
        let of = header(node(5000), node(1).incarnation.tag, Vec::new());
        Ok(datagram(&secret, &of, &[entry])?.len() - plain)
    };
    says("ban", with(ban())?);
    says("report", with(report())?);
    says("list index", with(index())?);
    let app_message = |message: Message| -> Result<usize> {
        let body = message.encode().ok_or("a message that does not fit")?;
        let body = [[0; 8].as_slice(), &body].concat();
        let message = AppMessage {
            from: node(5000),
            to: node(1).incarnation.tag,
            body,
        };
        Ok(message
            .seal(&secret)
            .ok_or("a message that does not fit")?
            .len())
    };
    let (lease, round) = (name(30_000)?, 1000);
    let grant = Request::Grant {
        lease: lease.clone(),
        round,
        token: 5000,
        length: 5_000_000,
        peers: Vec::new(),
    };
    says("renewal", app_message(Message::Request(grant))?);
    let position = LogPosition {
        storage: StorageId {
            generation: 1,
            tag: u64::MAX,
        },
        records: 1_000_000,
    };
    let vote = Vote {
        own: position,
        peers: vec![Some(position); 5],
    };
    says(
        "its answer, five keepers",
        app_message(Message::Response(Response::Granted { lease, round, vote }))?,
    );
    says("a name with its promise", promise_bytes()?);
    let line = serde_json::json!({
        "name": "service-1234-server-12", "address": "10.123.45.67:8080", "zone": "zone-12", "type": "kind-3", "group": 1,
        "status": "active", "weight": 1.0, "since_ms": 1_790_000_000_000u64,
    });
    says(
        "a line of a list with its comma",
        line.to_string().len() + 1,
    );
    Ok(())
}

fn entry(key: Key, value: Value, ttl_ms: u32) -> Entry {
    let version = Version {
        incarnation: node(5000).incarnation,
        n: 100,
    };
    Entry {
        key,
        version,
        value,
        ttl_ms,
        age_us: 1_500_000,
    }
}

fn ban() -> Entry {
    let id = BanId {
        node: node(5000).name,
        incarnation: node(5000).incarnation,
        number: 100,
    };
    let key = Key::Ban {
        server: "service-1234-server-12".to_owned(),
        id,
    };
    entry(
        key,
        Value::Banned {
            by: "operator".to_owned(),
        },
        604_800_000,
    )
}

fn report() -> Entry {
    let server = ServerInstance {
        name: "service-1234-server-12".to_owned(),
        since: 1_790_000_000_000,
    };
    let report = Report {
        finding: Finding::Failing,
        bad: 5,
        good: 0,
        zone: "zone-12".to_owned(),
        accused: 3,
        listed: 50_000,
    };
    entry(
        Key::Report {
            server,
            by: node(5000).name,
        },
        Value::Report(report),
        10_000,
    )
}

fn index() -> Entry {
    entry(
        Key::ListIndex {
            list: "service-1234".to_owned(),
        },
        Value::ListIndex,
        600_000,
    )
}

/// Bytes of one name and what was promised of it, as keepers tell it each other.
fn promise_bytes() -> Result<usize> {
    let promise = |n| Promise {
        ballot: 5000,
        client: Some(client(n)),
        length: 5_000_000,
    };
    let page = |n: usize| -> Result<usize> {
        let promises: Result<Vec<_>> = (0..n)
            .map(|n| Ok((name(30_000 + n)?, promise(n))))
            .collect();
        let page = PeerMessage::PromisePage {
            after: None,
            promises: promises?,
            floor: 0,
            last: true,
            voting: true,
        };
        Ok(Message::Peer(page)
            .encode()
            .ok_or("a page that does not fit")?
            .len())
    };
    Ok((page(11)? - page(1)?) / 10)
}

// ---- a node at rest ----

/// A node with so many services of eight servers that nobody asks, by itself or in a fleet of one: what its main thread runs for in
/// a second.
fn rest(program: &str, services: usize, together: bool) -> Result<Figures> {
    let folder = reelfall_testbed::node::Folder::new().map_err(|e| e.to_string())?;
    let file = folder.path().join("reelfall.toml");
    let key = folder.path().join("fleet.key");
    std::fs::write(&key, "a key for measuring sizes alone")?;
    let fleet = format!(
        "[fleet]\nname = \"f\"\nnode = \"n\"\nlisten = \"127.0.0.1:0\"\nkey_file = {key:?}\n"
    );
    std::fs::write(
        &file,
        if together { fleet } else { String::new() } + &settings(services),
    )?;
    let mut child = Command::new(program)
        .args(["run", "--config"])
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    let measured = at_rest(&mut child);
    child.kill()?;
    child.wait()?;
    measured
}

fn at_rest(child: &mut std::process::Child) -> Result<Figures> {
    let mut line = String::new();
    let stdout = child.stdout.as_mut().ok_or("nothing is said by the node")?;
    std::io::BufRead::read_line(&mut std::io::BufReader::new(stdout), &mut line)?;
    let process = child.id().to_string();
    let ran = || -> Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{process}/schedstat"))?;
        let ran: f64 = text.split(' ').next().unwrap_or_default().parse()?;
        Ok(ran / 1e9)
    };
    std::thread::sleep(Duration::from_secs(3));
    let (before, begun) = (ran()?, Instant::now());
    std::thread::sleep(Duration::from_secs(10));
    let cores = (ran()? - before) / begun.elapsed().as_secs_f64();
    Ok(Figures::from([
        ("cores".to_owned(), cores),
        ("bytes".to_owned(), resident(&process)?),
    ]))
}

fn settings(services: usize) -> String {
    let mut text = "[[listener]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\n".to_owned();
    for n in 0..services {
        text += &format!("[[service]]\nname = \"service-{n}\"\n");
        text += "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"150ms\"\ndeadline = \"600ms\"\n";
        text += &format!("[[service.route]]\nhost = \"service-{n}.example.org\"\nassign = \"c\"\n");
        for server in 0..8 {
            let (high, low) = (n / 200, n % 200);
            text += &format!(
                "[[service.server]]\nname = \"s-{n}-{server}\"\naddress = \"127.{}.{}.{}:9000\"\n",
                high + 1,
                low + 1,
                server + 1
            );
        }
    }
    text
}
