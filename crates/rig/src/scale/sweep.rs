//! Sweeps: one axis at a time, then two together, and lines through what was measured.

use super::computation::{self, Computation};
use super::faults::{keep, GATHERS_IN};
use super::fit;
use super::limits::Deadline;
use super::lists::Lists;
use super::machine;
use super::network::Network;
use super::record::{Product, Record};
use super::report::{Axis, Run, Size, Slope, Traffic};
use super::single::threads;
use super::window::{measure, until_gathered, Rates, DRAIN};
use crate::Result;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What stays as it is while another axis is swept.
pub const BASE: Size = Size {
    nodes: 100,
    servers: 500,
    services: 25,
    routes: 1_000,
    tenants: 1_000,
    changes: 13_000,
    restarts: 18_000,
};
/// Sizes of fleets.
pub const NODES: [usize; 6] = [50, 100, 150, 200, 250, 300];
/// Of these, the fleets at which restarts are swept too, for the product of both.
const NODES_TOGETHER: [usize; 3] = [50, 150, 300];
/// Restarts a day; the day of the target has 18,000, so that the last is nine times as fast.
pub const RESTARTS: [usize; 5] = [18_000, 54_000, 90_000, 126_000, 162_000];
/// Of these, those that are played at each of the fleets above.
const RESTARTS_TOGETHER: [usize; 2] = [90_000, 162_000];
/// Changes a day; the day of the target has 13,000.
pub const CHANGES: [usize; 5] = [13_000, 39_000, 65_000, 91_000, 117_000];
/// Sizes of what is computed.
const COMPUTED: [(Computation, Axis, [usize; 6]); 5] = [
    (Computation::ServerList, Axis::Servers, [1_000, 2_000, 3_000, 4_000, 5_000, 6_000]),
    (Computation::ServerChange, Axis::Servers, [1_000, 2_000, 3_000, 4_000, 5_000, 6_000]),
    (Computation::Settings, Axis::Services, [40, 80, 120, 160, 200, 240]),
    (Computation::Settings, Axis::Routes, [2_000, 4_000, 6_000, 8_000, 10_000, 12_000]),
    (Computation::Settings, Axis::Tenants, [2_000, 4_000, 6_000, 8_000, 10_000, 12_000]),
];
/// How long a fleet rests after all know all.
const SETTLES: Duration = Duration::from_secs(6);

/// What a sweep is made of.
pub struct Plan {
    /// The rig's own program, for computations.
    pub rig: PathBuf,
    /// Seconds of each window.
    pub seconds: f64,
    /// For all draws.
    pub seed: u64,
    /// When it has to be over.
    pub deadline: Deadline,
}

/// A figure of a run that a line is drawn through.
type Figure = (&'static str, fn(&Run) -> Option<f64>);

/// The figures of runs with hollow nodes.
///
/// Memory is none of them: fleets of a sweep follow one another in one process, and a later one takes what an earlier
/// one left.
const NETWORK_FIGURES: [Figure; 4] = [
    ("control traffic of a node, in and out, B/s", |run| {
        Some(run.per_node.traffic.iter().map(|t: &Traffic| t.bytes_in + t.bytes_out).sum())
    }),
    ("most control traffic of a node in 1 s, B", |run| Some(run.per_node.peak_bytes)),
    ("control processor time of a node, % of a core", |run| Some(run.per_node.cpu * 100.0)),
    ("time until a ban is in force, p99, s", |run| run.in_force.map(|times| times.p99)),
];
/// The figures of computations.
const COMPUTED_FIGURES: [Figure; 2] = [
    ("processor time, s", |run| Some(run.per_node.cpu)),
    ("memory kept, bytes", |run| Some(run.per_node.memory)),
];

/// Plays all sweeps. What did not fit into its time is said in the record.
///
/// # Errors
/// If the sizes do not fit the machine, or something does not start.
pub async fn run(plan: &Plan) -> Result<Record> {
    let largest = Size { nodes: NODES[NODES.len() - 1], ..BASE };
    machine::machine()?.check(&largest, 0)?;
    let mut record = Record::new(plan.seed);
    for (computation, axis, sizes) in COMPUTED {
        computed(plan, computation, axis, &sizes, &mut record).await;
    }
    let mut swept = Swept::default();
    for nodes in NODES {
        let size = Size { nodes, ..BASE };
        network(plan, &size, &mut swept, &mut record).await?;
    }
    lines(Axis::Nodes, &swept.nodes, &NETWORK_FIGURES, "", &mut record);
    lines(Axis::Restarts, &swept.restarts, &NETWORK_FIGURES, "", &mut record);
    lines(Axis::Changes, &swept.changes, &NETWORK_FIGURES, "", &mut record);
    for figure in NETWORK_FIGURES.iter().take(3) {
        match product(figure, &swept.together) {
            Some(product) => {
                print_product(&product);
                record.products.push(product);
            }
            None => record.left_out(format!("nodes and restarts together: {}", figure.0)),
        }
    }
    Ok(record)
}

/// Runs with hollow nodes, by what was swept.
#[derive(Default)]
struct Swept {
    nodes: Vec<Run>,
    restarts: Vec<Run>,
    changes: Vec<Run>,
    together: Vec<Run>,
}

async fn computed(plan: &Plan, computation: Computation, axis: Axis, sizes: &[usize], record: &mut Record) {
    let mut runs = Vec::new();
    for value in sizes {
        if plan.deadline.left().is_zero() {
            record.left_out(format!("{} at {value} {axis:?}: the time is over", computation.name()));
            break;
        }
        let size = BASE.with(axis, *value);
        match computation::measured(&plan.rig, computation, &size, plan.deadline.left()).await {
            Ok(run) => {
                record.add(run.clone());
                runs.push(run);
            }
            Err(fault) => {
                record.left_out(format!("{} at {value} {axis:?}: {fault}", computation.name()));
                break;
            }
        }
    }
    let of = format!("{}: ", computation.name());
    lines(axis, &runs, &COMPUTED_FIGURES, &of, record);
}

/// One fleet: a window at the base's rates, and others where it is swept by rates too.
async fn network(plan: &Plan, size: &Size, swept: &mut Swept, record: &mut Record) -> Result<()> {
    let window = Duration::from_secs_f64(plan.seconds) + DRAIN;
    if !plan.deadline.allows(SETTLES + 2 * window) {
        record.left_out(format!("{} nodes: the time is over", size.nodes));
        return Ok(());
    }
    let lists = Arc::new(Lists::new(size.servers, size.services));
    let network = Network::start(size.nodes, lists, plan.seed, threads())?;
    if until_gathered(&network, 0, GATHERS_IN.min(plan.deadline.left())).await.is_none() {
        record.left_out(format!("{} nodes: not all know each other in {GATHERS_IN:?}", size.nodes));
        return Ok(());
    }
    tokio::time::sleep(SETTLES).await;
    let base = window_at(plan, &network, size, record).await?;
    swept.nodes.extend(base.clone());
    if NODES_TOGETHER.contains(&size.nodes) {
        swept.together.extend(base.clone());
        for restarts in RESTARTS_TOGETHER {
            let run = window_at(plan, &network, &Size { restarts, ..*size }, record).await?;
            swept.together.extend(run);
        }
    }
    if size.nodes == BASE.nodes {
        swept.restarts.extend(base.clone());
        for restarts in RESTARTS.into_iter().skip(1) {
            swept.restarts.extend(window_at(plan, &network, &Size { restarts, ..*size }, record).await?);
        }
        swept.changes.extend(base);
        for changes in CHANGES.into_iter().skip(1) {
            swept.changes.extend(window_at(plan, &network, &Size { changes, ..*size }, record).await?);
        }
    }
    Ok(())
}

/// One window, if there is time for it.
async fn window_at(plan: &Plan, network: &Network, size: &Size, record: &mut Record) -> Result<Option<Run>> {
    let window = Duration::from_secs_f64(plan.seconds) + DRAIN;
    if !plan.deadline.allows(window) {
        record.left_out(format!("a window at {size:?}: the time is over"));
        return Ok(None);
    }
    let measured = measure(network, "sweep", size, Rates::of(size), plan.seconds, plan.seed).await?;
    let run = measured.run.clone();
    keep(record, measured);
    Ok(Some(run))
}

/// Lines through the figures of runs along an axis.
fn lines(axis: Axis, runs: &[Run], figures: &[Figure], of: &str, record: &mut Record) {
    for (name, figure) in figures {
        let point = |run: &Run| Some((run.size.get(axis) as f64, figure(run)?));
        let points: Vec<(f64, f64)> = runs.iter().filter_map(point).collect();
        match fit::slope(axis, &format!("{of}{name}"), &points) {
            Some(slope) => record.add_slope(slope),
            None => {
                record.left_out(format!("{of}{name} over {axis:?}: no line through {} points", points.len()))
            }
        }
    }
}

/// A figure by nodes, restarts and their product.
pub fn product((name, figure): &Figure, runs: &[Run]) -> Option<Product> {
    let point = |run: &Run| Some((run.size.nodes as f64, run.size.restarts as f64, figure(run)?));
    let points: Vec<(f64, f64, f64)> = runs.iter().filter_map(point).collect();
    let rows: Vec<Vec<f64>> = points.iter().map(|(x, y, _)| vec![1.0, *x, *y, x * y]).collect();
    let figures: Vec<f64> = points.iter().map(|(_, _, figure)| *figure).collect();
    let fit = fit::least_squares(&rows, &figures).filter(|fit| fit.errors.iter().all(|e| e.is_finite()))?;
    Some(Product {
        axes: (Axis::Nodes, Axis::Restarts),
        figure: (*name).to_owned(),
        points,
        factors: fit.factors,
        standard_errors: fit.errors,
    })
}

/// Prints a line with its error and residuals, and what it says of the target unless the points bend.
pub fn print(slope: &Slope) {
    println!("{}", text(slope));
}

/// A line with its error and residuals, and what it says of the target unless the points bend.
pub fn text(slope: &Slope) -> String {
    let residuals: Vec<String> = fit::residuals(slope).iter().map(|r| format!("{r:.2e}")).collect();
    let mut text = format!(
        "{:?}, {}: {:.4e} + {:.4e} (standard error {:.1e}) for one more; residuals {}",
        slope.axis,
        slope.figure,
        slope.intercept,
        slope.slope,
        slope.standard_error,
        residuals.join(" ")
    );
    let target = Size::TARGET.get(slope.axis) as f64;
    let bend = fit::bend(&slope.points);
    match (fit::projection(slope, target), bend) {
        (Some((figure, error)), _) => {
            text += &format!("; at {target}: {figure:.4} (standard error {error:.4})")
        }
        (None, Some(bend)) => {
            text += &format!("; bent (t {:.2}, bound {:.2}): no projection", bend.t, bend.bound);
        }
        (None, None) => text += "; bent: no projection",
    }
    text
}

fn print_product(product: &Product) {
    let terms = ["constant", "nodes", "restarts", "nodes x restarts"];
    let parts: Vec<String> = terms
        .iter()
        .zip(product.factors.iter().zip(&product.standard_errors))
        .map(|(term, (factor, error))| format!("{term} {factor:.3e} (standard error {error:.1e})"))
        .collect();
    println!("Nodes and Restarts together, {}: {}", product.figure, parts.join(", "));
}
