//! One run at one size: hollow nodes at rest and under changes, real nodes beside them, and the worst moments.

use super::computation::{self, Computation};
use super::faults::{keep, Moments};
use super::limits::Deadline;
use super::lists::Lists;
use super::machine;
use super::network::Network;
use super::real::{request_times, RealNodes, LISTED_MOST};
use super::record::{Added, Gathered, Record};
use super::report::Size;
use super::window::{measure, measure_with, until_gathered, Rates, DRAIN};
use reelfall_testbed::scripted::Program;
use reelfall_testbed::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Rounds of a window at rest and one under changes.
pub const ROUNDS: u64 = 3;
/// Within what time the nodes of a new fleet have to know each other.
const STARTS_IN: Duration = Duration::from_secs(150);
/// How long a fleet rests after all know all, before anything is measured.
const SETTLES: Duration = Duration::from_secs(10);
/// Time that has to be left for one of the worst moments.
const MOMENT_MOST: Duration = Duration::from_secs(45);

/// What a run is made of.
pub struct Plan {
    /// The node's program, for real nodes.
    pub program: Program,
    /// The rig's own program, for computations.
    pub rig: PathBuf,
    /// How large it is.
    pub size: Size,
    /// Real nodes.
    pub real: usize,
    /// Threads that drive the hollow ones.
    pub threads: usize,
    /// Seconds of each window.
    pub seconds: f64,
    /// For all draws.
    pub seed: u64,
    /// When it has to be over.
    pub deadline: Deadline,
}

/// Threads that drive hollow nodes: half of the cores, so that real nodes and clients have some.
pub fn threads() -> usize {
    (machine::cores() / 2).max(1)
}

/// Plays it. What did not fit into its time is said in the record.
///
/// # Errors
/// If the size does not fit the machine, or something does not start.
pub async fn run(plan: &Plan) -> Result<Record> {
    machine::machine()?.check(&plan.size, plan.real)?;
    let mut record = Record::new(plan.seed);
    computations(plan, &mut record).await;
    let lists = Arc::new(Lists::new(plan.size.servers, plan.size.services));
    let network = Network::start(plan.size.nodes, lists, plan.seed, plan.threads)?;
    let real = RealNodes::start(&plan.program, plan.real, &network, plan.size.servers).await?;
    record.note(format!(
        "{} hollow nodes on {} threads of one process and {} real nodes; a change is a ban by hand; a list's line \
         reaches hollow nodes over a channel of the process; memory of a hollow node is the growth of the process over \
         all of them; kinds by one datagram of {}",
        plan.size.nodes,
        network.threads(),
        real.count(),
        super::counters::SAMPLED
    ));
    if plan.size.servers > LISTED_MOST {
        record.note(format!(
            "the list of the real nodes has {LISTED_MOST} servers: a longer one is refused by nodes"
        ));
    }
    let starts_in = STARTS_IN.min(plan.deadline.left());
    let gathered = until_gathered(&network, real.count(), starts_in).await;
    record.gathered.push(Gathered {
        after: "start".to_owned(),
        seconds: gathered,
    });
    match gathered {
        Some(took) => record.note(format!("start: all know all after {took:.1} s")),
        None => {
            record.left_out(format!(
                "all: not all nodes know each other after {starts_in:?}"
            ));
            return Ok(record);
        }
    }
    tokio::time::sleep(SETTLES).await;
    let played = quiet(plan, &network, &real, &mut record).await;
    keep_going(&mut record, "quiet", played);
    let played = requests(plan, &network, &real, &mut record).await;
    keep_going(&mut record, "requests", played);
    moments(plan, &network, real.count(), &mut record).await;
    Ok(record)
}

async fn computations(plan: &Plan, record: &mut Record) {
    let list = Size {
        servers: plan.size.servers / plan.size.services.max(1),
        ..plan.size
    };
    let all = [
        (Computation::Settings, plan.size),
        (Computation::ServerList, list),
        (Computation::ServerChange, list),
    ];
    for (computation, size) in all {
        match computation::measured(&plan.rig, computation, &size, plan.deadline.left()).await {
            Ok(run) => record.add(run),
            Err(fault) => record.left_out(format!("{}: {fault}", computation.name())),
        }
    }
}

/// Nothing changes and nobody asks: what control costs by itself.
async fn quiet(
    plan: &Plan,
    network: &Network,
    real: &RealNodes,
    record: &mut Record,
) -> Result<()> {
    let before = real.usage()?;
    let measured = measure(
        network,
        "quiet",
        &plan.size,
        Rates::NONE,
        plan.seconds,
        plan.seed,
    )
    .await?;
    let (size, seconds) = (measured.run.size, measured.run.seconds);
    keep(record, measured);
    if real.count() > 0 {
        record.add(real.run("quiet", &size, &before, seconds)?);
    }
    Ok(())
}

/// Requests through the real nodes, in turn at rest and while changes arrive.
async fn requests(
    plan: &Plan,
    network: &Network,
    real: &RealNodes,
    record: &mut Record,
) -> Result<()> {
    let (mut rest, mut under) = (Vec::new(), Vec::new());
    let round = Duration::from_secs_f64(2.0 * plan.seconds) + DRAIN;
    let mut last = None;
    for n in 0..ROUNDS {
        if !plan.deadline.allows(round) {
            record.left_out(format!(
                "round {n} of {ROUNDS} of requests at rest and under changes"
            ));
            break;
        }
        let rates = Rates::of(&plan.size);
        if real.count() == 0 {
            keep(
                record,
                measure(
                    network,
                    "changes",
                    &plan.size,
                    rates,
                    plan.seconds,
                    plan.seed + n,
                )
                .await?,
            );
            continue;
        }
        rest.push(real.load(plan.seconds, plan.seed + 2 * n).await?);
        let before = real.usage()?;
        let restarted = |server: usize| real.restarted(server);
        let changes = measure_with(
            network,
            "changes",
            &plan.size,
            rates,
            plan.seconds,
            plan.seed + n,
            &restarted,
        );
        let (measured, loaded) =
            tokio::join!(changes, real.load(plan.seconds, plan.seed + 2 * n + 1));
        let measured = measured?;
        under.push(loaded?);
        last = Some(real.run(
            "requests",
            &plan.size,
            &before,
            measured.run.seconds + DRAIN.as_secs_f64(),
        )?);
        keep(record, measured);
        let us = |all: &[hdrhistogram::Histogram<u64>], share: f64| {
            all.last()
                .map_or(0.0, |h| h.value_at_quantile(share) as f64)
        };
        let (p50, p99) = (
            us(&under, 0.5) - us(&rest, 0.5),
            us(&under, 0.99) - us(&rest, 0.99),
        );
        record.added.push(Added {
            p50: p50 / 1e6,
            p99: p99 / 1e6,
        });
        record.note(format!(
            "requests, round {n}: under changes less at rest p50 {p50:+.0} us, p99 {p99:+.0} us"
        ));
    }
    if let Some(mut run) = last {
        run.requests = request_times(&rest, &under)?;
        record.add(run);
    }
    Ok(())
}

/// The worst moments, one after another.
async fn moments(plan: &Plan, network: &Network, beside: usize, record: &mut Record) {
    let moments = Moments {
        network,
        beside,
        size: &plan.size,
        deadline: plan.deadline,
    };
    for name in ["zone-gone", "region-start", "drawn-faults", "region-cut"] {
        if !plan.deadline.allows(MOMENT_MOST) {
            record.left_out(format!("{name}: the time is over"));
            continue;
        }
        let played = match name {
            "zone-gone" => moments.zone_gone(record).await,
            "region-start" => moments.region_start(record).await,
            "drawn-faults" => moments.drawn(record).await,
            _ => moments.region_cut(record).await,
        };
        keep_going(record, name, played);
    }
}

/// A part that failed is said, and the others are played.
fn keep_going(record: &mut Record, name: &str, played: Result<()>) {
    if let Err(fault) = played {
        record.left_out(format!("{name}: {fault}"));
    }
}
