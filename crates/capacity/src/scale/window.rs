//! Windows of measurement over a network of hollow nodes: changes are made at a rate, and what they cost is counted.

use super::counters::per_node;
use super::lists::FAILING;
use super::network::Network;
use super::report::{Run, Size, Source, Times};
use reelfall_testbed::{Result, SeededRng};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Seconds of a day.
pub const DAY: f64 = 86_400.0;
/// How long a ban by hand holds that stands for a change, in seconds.
pub const CHANGE_LASTS: f64 = 10.0;
/// How long a server fails before the list tells of its restart, in seconds.
pub const FAILS_FOR: f64 = 1.0;
/// How long after the last change its coming into force is waited for.
pub const DRAIN: Duration = Duration::from_secs(3);

/// How often something changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rates {
    /// Changes a day; each is played as a ban by hand at a node that is drawn.
    pub changes: usize,
    /// Restarts of servers a day.
    pub restarts: usize,
}

impl Rates {
    /// Nothing changes.
    pub const NONE: Rates = Rates {
        changes: 0,
        restarts: 0,
    };

    /// The rates of a size.
    pub fn of(size: &Size) -> Rates {
        Rates {
            changes: size.changes,
            restarts: size.restarts,
        }
    }
}

/// What was played in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Bans by hand.
    pub changes: usize,
    /// Restarts of servers that the lists told of.
    pub restarts: usize,
}

/// What a window gave.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Its figures.
    pub run: Run,
    /// Time until a list's change was taken in.
    pub lists_in_force: Option<Times>,
    /// What was played.
    pub played: Played,
    /// How busy the threads were that drive the nodes, as a share.
    pub busy: f64,
    /// Pairs of a ban and a node that runs at which the ban has not come into force.
    pub missing: usize,
}

/// Moments at even distances: the first after half of one, and at least one in the window.
pub fn moments(a_day: usize, seconds: f64) -> Vec<f64> {
    if a_day == 0 {
        return Vec::new();
    }
    let gap = DAY / a_day as f64;
    let first = (gap / 2.0).min(seconds / 2.0);
    (0..)
        .map(|n| first + f64::from(n) * gap)
        .take_while(|at| *at < seconds)
        .collect()
}

/// Something that happens in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A server is sent out by hand at a node that is drawn.
    Change,
    /// A server begins to fail.
    Fails(usize),
    /// The lists tell that it has restarted.
    Restarted(usize),
}

/// What happens in a window of so many seconds, and when.
pub fn schedule(
    rates: Rates,
    seconds: f64,
    servers: usize,
    draw: &mut SeededRng,
) -> Vec<(f64, Event)> {
    let mut events: Vec<(f64, Event)> = moments(rates.changes, seconds)
        .into_iter()
        .map(|at| (at, Event::Change))
        .collect();
    for at in moments(rates.restarts, seconds) {
        // Those that fail all the time do not restart.
        let server = FAILING + draw.next_u64() as usize % servers.saturating_sub(FAILING).max(1);
        events.push(((at - FAILS_FOR).max(0.0), Event::Fails(server)));
        events.push((at, Event::Restarted(server)));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    events
}

/// Makes changes at their rates for so many seconds.
async fn play(
    network: &Network,
    rates: Rates,
    seconds: f64,
    mut draw: SeededRng,
    restarted: &dyn Fn(usize),
) -> Played {
    let lists = network.shared.lists.clone();
    let begun = network.shared.now();
    let mut played = Played::default();
    for (at, event) in schedule(rates, seconds, lists.servers(), &mut draw) {
        tokio::time::sleep_until(network.shared.moment(begun + at).into()).await;
        match event {
            Event::Change => {
                let running = network.running();
                if let Some(n) = running.get(draw.next_u64() as usize % running.len().max(1)) {
                    network.ban(*n, CHANGE_LASTS);
                    played.changes += 1;
                }
            }
            Event::Fails(server) => lists.fail(server),
            Event::Restarted(server) => {
                lists.restarted(server, network.shared.now_us());
                restarted(server);
                played.restarts += 1;
            }
        }
    }
    tokio::time::sleep_until(network.shared.moment(begun + seconds).into()).await;
    played
}

/// Measures a window of so many seconds.
///
/// # Errors
/// If the system does not tell what is used.
pub async fn measure(
    network: &Network,
    name: &str,
    size: &Size,
    rates: Rates,
    seconds: f64,
    seed: u64,
) -> Result<Measured> {
    measure_with(network, name, size, rates, seconds, seed, &|_| {}).await
}

/// The same, and tells of each server that restarted.
///
/// # Errors
/// The same.
pub async fn measure_with(
    network: &Network,
    name: &str,
    size: &Size,
    rates: Rates,
    seconds: f64,
    seed: u64,
    restarted: &dyn Fn(usize),
) -> Result<Measured> {
    let before = network.begin_window();
    let begun = network.shared.now();
    let played = play(network, rates, seconds, SeededRng(seed), restarted).await;
    let took = network.shared.now() - begun;
    let (after, sample) = (network.totals(), network.shared.sampler.take());
    let peak = network.peak();
    if played != Played::default() {
        tokio::time::sleep(DRAIN).await;
    }
    let forces = network.forces();
    let busy = (after.cpu - before.cpu) / took / network.threads() as f64;
    let mut per_node = per_node(&before, &after, &sample, network.nodes(), took);
    per_node.peak_bytes = peak;
    per_node.memory = Some(network.memory()?);
    let expected = played.changes * network.running().len();
    let run = Run {
        name: name.to_owned(),
        source: Source::HollowNodes,
        size: Size {
            changes: rates.changes,
            restarts: rates.restarts,
            ..*size
        },
        seconds: took,
        per_node,
        in_force: times(&forces.bans),
        requests: None,
        read_bytes: None,
        played: None,
    };
    let missing = expected.saturating_sub(forces.bans.len());
    Ok(Measured {
        run,
        lists_in_force: times(&forces.lines),
        played,
        busy,
        missing,
    })
}

/// The distribution of some times; `None` if there are none.
pub fn times(all: &[f64]) -> Option<Times> {
    let mut sorted = all.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = *sorted.last()?;
    Some(Times {
        p50: quantile(&sorted, 0.5),
        p99: quantile(&sorted, 0.99),
        last,
    })
}

/// The smallest of sorted values that so large a share does not exceed.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Waits until all know all; how long it took, or `None` if that took too long.
pub async fn until_gathered(network: &Network, beside: usize, most: Duration) -> Option<f64> {
    let begun = network.shared.now();
    while !network.gathered(beside) {
        if network.shared.now() - begun > most.as_secs_f64() {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Some(network.shared.now() - begun)
}
