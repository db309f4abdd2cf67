//! Three nodes, all orders of what can happen to their words: sent, brought late, brought twice, lost; a node that forgets
//! all. The merge, the ages and the proofs are the code that runs.

use reelfall_cluster::entry::{BanId, Entry, Key, Value, Version};
use reelfall_cluster::freshness::{max_transit, ClockEcho};
use reelfall_cluster::node::Incarnation;
use reelfall_cluster::table::{StoredEntry, Table, PARTITIONS};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
/// The last moment that is looked at.
const END: u8 = 3;
/// How long a ban counts, in moments.
const LASTS: u8 = 2;
const UNDER_WAY: usize = 1;

/// A verdict as a node holds it: as it came, and when that was.
type ReceivedEntry = (Entry, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Datagram {
    from: usize,
    to: usize,
    sent: u8,
    /// What the writer had heard last of the reader's clock, and when.
    heard: Option<(u8, u8)>,
    /// Forms of the verdicts, each with its age.
    entries: Vec<(bool, u32, u64, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    /// Calls and versions, whether lifted, the age as it came, and when.
    holds: Vec<(bool, u32, u64, u64, u8)>,
    /// What it heard last of each other's clock, and when.
    heard: [Option<(u8, u8)>; NODES],
    /// Calls that it knows to be lifted.
    lifted: Vec<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    nodes: [Node; NODES],
    under_way: Vec<Datagram>,
    /// When each word of a ban was said: call, version, moment.
    born: Vec<(u32, u64, u8)>,
    lifts: u8,
    forgot: bool,
    /// A node that knew of a lift held the ban again.
    back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Later,
    Ban,
    Affirm,
    Lift,
    Send(usize, usize),
    Bring(usize, bool),
    Lose(usize),
    Forget(usize),
}

fn entry(lifted: bool, call: u32, n: u64, age_us: u64) -> Entry {
    let incarnation = Incarnation { number: 1, tag: 7 };
    let by = "ada".to_owned();
    let value = if lifted {
        Value::BanLifted { by }
    } else {
        Value::Banned { by }
    };
    let id = BanId {
        node: "a".to_owned(),
        incarnation,
        number: call,
    };
    // A lift outlives what it lifts by far.
    let ttl_ms = if lifted {
        600_000
    } else {
        u32::from(LASTS) * 1000
    };
    let key = Key::Ban {
        server: "s".to_owned(),
        id,
    };
    Entry {
        key,
        version: Version { incarnation, n },
        value,
        ttl_ms,
        age_us,
    }
}

fn form(key: &Key, held: &StoredEntry) -> (bool, u32, u64) {
    let number = if let Key::Ban { id, .. } = key {
        id.number
    } else {
        0
    };
    (
        matches!(held.value, Value::BanLifted { .. }),
        number,
        held.version.n,
    )
}

impl Node {
    fn received(&self) -> Vec<ReceivedEntry> {
        self.holds
            .iter()
            .map(|(l, c, n, age, came)| (entry(*l, *c, *n, *age), *came))
            .collect()
    }

    fn table(&self) -> Table {
        let mut table = Table::default();
        for (entry, came) in self.received() {
            table.merge(f64::from(came), entry);
        }
        table
    }

    /// Takes in a verdict with the table's own rule.
    fn take(&mut self, now: u8, told: (bool, u32, u64, u64)) {
        let mut table = self.table();
        let (l, c, n, age) = told;
        table.merge(f64::from(now), entry(l, c, n, age));
        let mut holds = Vec::new();
        let came = |f: (bool, u32, u64)| {
            let was = self.holds.iter().find(|h| (h.0, h.1, h.2) == f).copied();
            let new = (f == (l, c, n)).then_some((l, c, n, age, now));
            // The same word came again: whichever way was quicker counts.
            match (was, new) {
                (Some(w), Some(new)) if entry_age(w, now) <= entry_age(new, now) => Some(w),
                (w, new) => new.or(w),
            }
        };
        for (key, held) in table.live(f64::from(now)) {
            holds.extend(came(form(key, held)));
        }
        self.holds = holds;
        if l && !self.lifted.contains(&c) {
            self.lifted.push(c);
            self.lifted.sort_unstable();
        }
    }

    fn out(&self, now: u8) -> Vec<(u32, u64)> {
        let table = self.table();
        let live = table
            .live(f64::from(now))
            .map(|(k, h)| form(k, h))
            .filter(|f| !f.0);
        live.map(|f| (f.1, f.2)).collect()
    }
}

fn entry_age(h: (bool, u32, u64, u64, u8), now: u8) -> u64 {
    h.3 + u64::from(now - h.4) * 1_000_000
}

struct Fleet;

impl Fleet {
    fn said(state: &State, call: u32) -> u64 {
        state.born.iter().filter(|b| b.0 == call).count() as u64
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            // All have heard each other's clock.
            nodes: std::array::from_fn(|_| Node {
                heard: [Some((0, 0)); NODES],
                ..Node::default()
            }),
            under_way: vec![],
            born: vec![],
            lifts: 0,
            forgot: false,
            back: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < END {
            steps.push(Step::Later);
        }
        if state.born.is_empty() {
            steps.push(Step::Ban);
        }
        // Node 0 made the ban, and says it anew while it has not heard of a lift.
        if state.born.len() == 1
            && !state.nodes[0].lifted.contains(&1)
            && !state.nodes[0].out(state.now).is_empty()
        {
            steps.push(Step::Affirm);
        }
        if state.lifts == 0 && !state.nodes[1].out(state.now).is_empty() {
            steps.push(Step::Lift);
        }
        for from in 0..NODES {
            for to in (0..NODES).filter(|to| *to != from) {
                // An empty datagram is worth its clock.
                let same = |d: &Datagram| d.from == from && d.to == to && d.sent == state.now;
                if state.under_way.len() < UNDER_WAY && !state.under_way.iter().any(same) {
                    steps.push(Step::Send(from, to));
                }
            }
        }
        for at in 0..state.under_way.len() {
            steps.extend([
                Step::Bring(at, false),
                Step::Bring(at, true),
                Step::Lose(at),
            ]);
        }
        if !state.forgot {
            // The maker of the ban begins again as another incarnation, whose entries these are not.
            steps.extend([Step::Forget(1), Step::Forget(2)]);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Later => state.now += 1,
            Step::Ban | Step::Affirm => {
                let n = Fleet::said(&state, 1) + 1;
                state.born.push((1, n, now));
                state.nodes[0].take(now, (false, 1, n, 0));
            }
            Step::Lift => {
                state.lifts += 1;
                let (call, n) = state.nodes[1].out(now)[0];
                // Not of a greater version than what its maker may say meanwhile.
                state.nodes[1].take(now, (true, call, n, 0));
            }
            Step::Send(from, to) => {
                let mut entries = Vec::new();
                for told in state.nodes[from]
                    .table()
                    .differing(f64::from(now), &[u64::MAX; PARTITIONS])
                {
                    let lifted = matches!(told.value, Value::BanLifted { .. });
                    let number = if let Key::Ban { id, .. } = &told.key {
                        id.number
                    } else {
                        0
                    };
                    entries.push((lifted, number, told.version.n, told.age_us));
                }
                let heard = state.nodes[from].heard[to];
                state.under_way.push(Datagram {
                    from,
                    to,
                    sent: now,
                    heard,
                    entries,
                });
                state.under_way.sort();
            }
            Step::Bring(at, again) => {
                let d = if again {
                    state.under_way[at].clone()
                } else {
                    state.under_way.remove(at)
                };
                let node = &mut state.nodes[d.to];
                node.heard[d.from] = Some((d.sent, now));
                let echo = d.heard.map(|(stamp, came)| ClockEcho {
                    clock_us: u64::from(stamp) * 1_000_000,
                    elapsed_us: u64::from(d.sent - came) * 1_000_000,
                });
                if let Some(most) = echo.and_then(|echo| max_transit(f64::from(now), echo)) {
                    for (l, c, n, age) in d.entries {
                        node.take(now, (l, c, n, age + (most * 1e6).ceil() as u64));
                    }
                }
            }
            Step::Lose(at) => drop(state.under_way.remove(at)),
            Step::Forget(n) => {
                state.forgot = true;
                state.nodes[n] = Node::default();
            }
        }
        let back = |node: &Node| {
            node.out(state.now)
                .iter()
                .any(|(call, _)| node.lifted.contains(call))
        };
        state.back |= state.nodes.iter().any(back);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no verdict counts past its time", |_, s: &State| {
                s.nodes
                    .iter()
                    .flat_map(|node| node.out(s.now))
                    .all(|(call, n)| {
                        let born = s.born.iter().find(|b| (b.0, b.1) == (call, n)).map(|b| b.2);
                        born.is_some_and(|born| s.now - born <= LASTS)
                    })
            }),
            Property::always("no lifted ban is back", |_, s: &State| !s.back),
            Property::always(
                "what all know together does not depend on who is heard first",
                |_, s: &State| {
                    let all = |order: [usize; NODES]| {
                        let mut table = Table::default();
                        for n in order {
                            for told in s.nodes[n]
                                .table()
                                .differing(f64::from(s.now), &[u64::MAX; PARTITIONS])
                            {
                                table.merge(f64::from(s.now), told);
                            }
                        }
                        let live: Vec<_> = table
                            .live(f64::from(s.now))
                            .map(|(k, h)| form(k, h))
                            .collect();
                        (live, table.digests())
                    };
                    all([0, 1, 2]) == all([2, 1, 0]) && all([0, 1, 2]) == all([1, 0, 2])
                },
            ),
            Property::sometimes("a ban is known to all", |_, s: &State| {
                s.nodes.iter().all(|node| !node.out(s.now).is_empty())
            }),
            Property::sometimes("a lift is known to all", |_, s: &State| {
                s.nodes.iter().all(|node| node.lifted == [1])
            }),
            Property::sometimes(
                "a ban that was said anew outlives the first",
                |_, s: &State| {
                    s.born.len() == 2
                        && s.nodes[2].out(s.now).iter().any(|(_, n)| *n == 2)
                        && s.now > LASTS
                },
            ),
        ]
    }
}

#[test]
fn in_every_order_bounds_hold_and_what_was_lifted_stays_so() {
    let checker = Fleet
        .checker()
        .threads(2)
        .target_max_depth(DEPTH)
        .spawn_bfs()
        .join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
}

/// Steps from the beginning that are explored in all orders.
const DEPTH: usize = 10;
