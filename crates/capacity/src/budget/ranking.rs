//! What does not fit, by how far: the first row is what is to be built first.

use super::model::{self, bound, budget, Costs};
use super::table::{amount, markdown, times, Unit};
use crate::scale::report::Size;

/// One amount that is over its budget.
#[derive(Clone, Copy, Debug)]
pub struct Over {
    /// What it is.
    pub what: &'static str,
    /// The amount at the target.
    pub amount: f64,
    /// What it may be.
    pub budget: f64,
    /// What both are counted in.
    pub unit: Unit,
    /// It stands on something that was assumed.
    pub assumed: bool,
}

impl Over {
    /// By how far.
    pub fn factor(&self) -> f64 {
        self.amount / self.budget
    }
}

/// A mechanism and what of it is over its budget.
#[derive(Clone, Debug)]
pub struct Misfit {
    /// What it is.
    pub what: &'static str,
    /// The mechanism that carries it today, by file; or that there is none.
    pub carried: &'static str,
    /// The amounts.
    pub over: Vec<Over>,
}

impl Misfit {
    /// The greatest factor.
    pub fn factor(&self) -> f64 {
        self.over.iter().map(Over::factor).fold(0.0, f64::max)
    }
}

fn over(what: &'static str, amount: f64, budget: f64, unit: Unit) -> Over {
    Over {
        what,
        amount,
        budget,
        unit,
        assumed: false,
    }
}

/// The same, where it stands on something that was assumed.
fn assumed(what: &'static str, amount: f64, budget: f64, unit: Unit) -> Over {
    Over {
        assumed: true,
        ..over(what, amount, budget, unit)
    }
}

/// All that does not fit at the target, the worst first.
pub fn misfits(costs: &Costs) -> Vec<Misfit> {
    let mut all = vec![
        settings(costs),
        leases(costs),
        watches(costs),
        registry(costs),
        memory(costs),
        at_rest(costs),
        words(costs),
        bounds(costs),
        connections(costs),
        members(costs),
    ];
    all.iter_mut()
        .for_each(|misfit| misfit.over.retain(|over| over.factor() > 1.0));
    all.retain(|misfit| !misfit.over.is_empty());
    all.sort_by(|a, b| b.factor().total_cmp(&a.factor()));
    all
}

fn settings(costs: &Costs) -> Misfit {
    let file = costs.settings_bytes;
    let changes = model::changes(&Size::TARGET);
    Misfit {
        what: "changes of settings: each is the whole file, beside every node; nothing \
                carries it there, nothing says which node has which version, nothing \
                takes a change back",
        carried: "none; a file and SIGHUP, `crates/node/src/standalone.rs`",
        over: vec![
            over(
                "a file for each change, the day's mean",
                file * changes,
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "the same with 500 changes in a minute",
                file * 500.0 / 60.0,
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "reading it for each change",
                model::read_time(costs, file) * changes,
                budget::PROCESSOR,
                Unit::Cores,
            ),
            over(
                "memory while it is read",
                model::read_memory(costs, file),
                budget::MEMORY,
                Unit::Bytes,
            ),
            over(
                "one file within the bytes of a node",
                file / budget::TRAFFIC,
                budget::IN_FORCE,
                Unit::Seconds,
            ),
        ],
    }
}

fn leases(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    Misfit {
        what: "one asker of a list for each service and zone, by leases",
        carried: "`crates/lease/src/keeper/mod.rs`, `crates/node/src/lease/mod.rs`",
        over: vec![
            over("names", model::names(&target), bound::LEASES, Unit::Count),
            over(
                "a node that waits for one in each service",
                model::asker_traffic(costs, &target),
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "a keeper's looks through its names",
                model::keeper_scans(costs, &target),
                1.0,
                Unit::Cores,
            ),
            over(
                "a whole image in one frame",
                model::names(&target) * costs.lease_kept_bytes,
                bound::FRAME,
                Unit::Bytes,
            ),
        ],
    }
}

fn watches(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    let lists = model::lists(costs, target.servers as f64);
    Misfit {
        what: "lists of servers: a watch of its own for each service, at every node",
        carried: "`crates/node/src/net/discovery.rs`",
        over: vec![
            over(
                "connections",
                target.services as f64,
                bound::SPARE_DESCRIPTORS,
                Unit::Count,
            ),
            assumed(
                "signs of life",
                model::beats(costs, &target),
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "all lists, whole",
                lists / budget::TRAFFIC,
                budget::IN_FORCE,
                Unit::Seconds,
            ),
            over("one list of all servers", lists, bound::LIST, Unit::Bytes),
        ],
    }
}

fn registry(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    let (bytes, cores) = model::rereads(costs, &target);
    Misfit {
        what: "following a registry: a session for each pool, and all entries are read \
                again every 30 s",
        carried: "`crates/registry-client/src/follow.rs`, `crates/node/src/net/registry.rs`",
        over: vec![
            over(
                "sessions",
                target.services as f64,
                bound::SPARE_DESCRIPTORS,
                Unit::Count,
            ),
            over(
                "entries read again",
                bytes,
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over("the same", cores, budget::PROCESSOR, Unit::Cores),
        ],
    }
}

fn memory(costs: &Costs) -> Misfit {
    let [routes, tenants, pools, servers, peers, program] = model::held(costs, &Size::TARGET);
    let part = |what, bytes| over(what, bytes, budget::MEMORY, Unit::Bytes);
    Misfit {
        what: "memory: routes, tenants, pools and servers are held whole by every node",
        carried: "`crates/config/src/check.rs`, `crates/node/src/net/service.rs`, `pool.rs`",
        over: vec![
            part("all", routes + tenants + pools + servers + peers + program),
            part("tenants", tenants),
            part("servers", servers),
            part("routes", routes),
            part("pools", pools),
        ],
    }
}

fn at_rest(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    let rest = model::at_rest(costs, &target);
    Misfit {
        what: "work of a node at rest that grows with services and servers; requests \
                wait for it, as there is one thread",
        carried: "`crates/balancer/src/decide/mod.rs`, `crates/node/src/net/shared.rs`",
        over: vec![
            over(
                "words of lists, four times a second",
                model::lapses(costs, &target),
                budget::PROCESSOR,
                Unit::Cores,
            ),
            over(
                "timers of pools, looks at pools",
                rest,
                budget::PROCESSOR,
                Unit::Cores,
            ),
        ],
    }
}

fn words(costs: &Costs) -> Misfit {
    let (target, nodes) = (Size::TARGET, Size::TARGET.nodes as f64);
    Misfit {
        what: "words of nodes on servers when many fail at once, and a zone sent out \
                by hand",
        carried: "`crates/cluster/src/fleet`, `table.rs`, `crates/node/src/fleet/mod.rs` \
                (`judge`)",
        over: vec![
            over(
                "telling each pool of each server held for sick",
                model::judging(costs, &target),
                budget::PROCESSOR,
                Unit::Cores,
            ),
            over(
                "bans of a zone's 3,850 servers",
                model::told_in(costs, 3850.0, nodes),
                budget::IN_FORCE,
                Unit::Seconds,
            ),
            over(
                "datagrams of news, all full",
                model::most_news(),
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "three reports on each server of a zone",
                3850.0 * bound::WITNESSES,
                bound::VERDICTS,
                Unit::Count,
            ),
        ],
    }
}

fn bounds(_: &Costs) -> Misfit {
    Misfit {
        what: "services in a file: more are refused",
        carried: "`crates/config/src/check.rs`",
        over: vec![over(
            "services",
            Size::TARGET.services as f64,
            bound::SERVICES,
            Unit::Count,
        )],
    }
}

fn connections(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    let standing = model::standing(costs, &target) * target.servers as f64;
    Misfit {
        what: "connections to servers: by a settings file a node has no number, so it \
                sends to all servers and meets each every three minutes",
        carried: "`crates/balancer/src/decide/subset.rs`, `crates/config/src/check.rs`",
        over: vec![assumed(
            "that would stand idle",
            standing,
            bound::CONNECTIONS,
            Unit::Count,
        )],
    }
}

fn members(costs: &Costs) -> Misfit {
    let target = Size::TARGET;
    let nodes = target.nodes as f64;
    let restarts = 18_000.0 / 7200.0;
    // Not extended to the target: it grows faster than the nodes.
    let quiet = 2.0 * costs.gossip_bytes_1500;
    let news = quiet + model::membership_news(costs, &target, restarts);
    Misfit {
        what: "who is there: all nodes in one fleet",
        carried: "`crates/cluster/src/fleet`, `members.rs`",
        over: vec![
            over(
                "others whose clocks are remembered",
                nodes - 1.0,
                bound::PEERS,
                Unit::Count,
            ),
            over(
                "18,000 restarts in two hours",
                news,
                budget::TRAFFIC,
                Unit::BytesPerSecond,
            ),
            over(
                "sorting all members while there is news",
                model::draws(costs, nodes),
                budget::PROCESSOR,
                Unit::Cores,
            ),
        ],
    }
}

/// The ranking as a table.
pub fn table(costs: &Costs) -> String {
    let mut rows = Vec::new();
    for (n, misfit) in misfits(costs).iter().enumerate() {
        let mut over = misfit.over.clone();
        over.sort_by(|a, b| b.factor().total_cmp(&a.factor()));
        let column =
            |cell: &dyn Fn(&Over) -> String| over.iter().map(cell).collect::<Vec<_>>().join("<br>");
        rows.push(vec![
            (n + 1).to_string(),
            misfit.what.to_owned(),
            misfit.carried.to_owned(),
            column(&|o| {
                let known = if o.assumed { " (assumed)" } else { "" };
                format!("{}: {}{known}", o.what, amount(o.amount, o.unit))
            }),
            column(&|o| amount(o.budget, o.unit)),
            column(&|o| times(o.factor())),
        ]);
    }
    markdown(
        &[
            "",
            "what",
            "carried by",
            "at the target",
            "budget",
            "times over",
        ],
        &rows,
    )
}
