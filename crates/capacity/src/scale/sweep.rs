//! Sweeps: one axis at a time, then two together, and lines through what was measured.

use super::computation::{self, Computation};
use super::limits::Deadline;
use super::record::{Product, Record};
use super::report::{Axis, Run, Size, Traffic};
use super::window::Rates;
use super::{fit, fleet, machine};
use reelfall_testbed::Result;
use std::path::PathBuf;

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
/// What stays as it is while services, routes or tenants are swept. Each service has a route at least: there are as
/// many routes as the most services.
pub const SETTINGS_BASE: Size = Size {
    services: 100,
    routes: 2_600,
    ..BASE
};

/// A computation over sizes of one axis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ComputedSweep {
    /// Which one.
    pub computation: Computation,
    /// What is swept.
    pub axis: Axis,
    /// What stays as it is.
    pub base: Size,
    /// The sizes.
    pub sizes: [usize; 6],
}

/// Sizes of lists.
const LISTED: [usize; 6] = [1_000, 2_000, 3_000, 4_000, 5_000, 6_000];
/// What is computed.
pub const COMPUTED: [ComputedSweep; 5] = [
    ComputedSweep {
        computation: Computation::ServerList,
        axis: Axis::Servers,
        base: BASE,
        sizes: LISTED,
    },
    ComputedSweep {
        computation: Computation::ServerChange,
        axis: Axis::Servers,
        base: BASE,
        sizes: LISTED,
    },
    ComputedSweep {
        computation: Computation::Settings,
        axis: Axis::Services,
        base: SETTINGS_BASE,
        sizes: [100, 600, 1_100, 1_600, 2_100, 2_600],
    },
    ComputedSweep {
        computation: Computation::Settings,
        axis: Axis::Routes,
        base: SETTINGS_BASE,
        sizes: [2_600, 9_250, 18_500, 37_000, 55_500, 74_000],
    },
    ComputedSweep {
        computation: Computation::Settings,
        axis: Axis::Tenants,
        base: SETTINGS_BASE,
        sizes: [1_000, 70_000, 140_000, 280_000, 420_000, 560_000],
    },
];
/// Settings by services and routes together: each of the former with each of the latter.
pub const SERVICES_TOGETHER: [usize; 3] = [100, 1_300, 2_600];
/// See [`SERVICES_TOGETHER`].
pub const ROUTES_TOGETHER: [usize; 3] = [2_600, 37_000, 74_000];

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
pub type Figure = (&'static str, fn(&Run) -> Option<f64>);

/// The figures of runs with hollow nodes.
pub const NETWORK_FIGURES: [Figure; 4] = [
    ("control traffic of a node, in and out, B/s", |run| {
        Some(
            run.per_node
                .traffic
                .iter()
                .map(|t: &Traffic| t.bytes_in + t.bytes_out)
                .sum(),
        )
    }),
    ("most control traffic of a node in 1 s, B", |run| {
        Some(run.per_node.peak_bytes)
    }),
    ("control processor time of a node, % of a core", |run| {
        Some(run.per_node.cpu * 100.0)
    }),
    ("time until a ban is in force, p99, s", |run| {
        run.in_force.map(|times| times.p99)
    }),
];
/// Of the first window of each fleet: later ones follow it in the same process.
const NETWORK_MEMORY: Figure = ("memory of a node, B", |run| run.per_node.memory);
/// The figures of computations.
const COMPUTED_FIGURES: [Figure; 3] = [
    ("processor time, s", |run| Some(run.per_node.cpu)),
    ("most memory of the process, B", |run| run.per_node.memory),
    ("length, B", |run| run.read_bytes.map(|bytes| bytes as f64)),
];
/// The figures of one computation: a list's length is known without measuring, and a change's memory is the list's.
fn figures(computation: Computation) -> &'static [Figure] {
    match computation {
        Computation::Settings => &COMPUTED_FIGURES,
        Computation::ServerList => &COMPUTED_FIGURES[..2],
        Computation::ServerChange => &COMPUTED_FIGURES[..1],
    }
}

/// Why memory is not told of all windows.
const MEMORY_TOLD: &str =
    "memory of a node is told of the first window of each fleet alone, as its process has done \
    nothing else by then; the windows of further rates follow it in the same process";

/// Plays all sweeps. What did not fit into its time is said in the record.
///
/// # Errors
/// If the sizes do not fit the machine, or something does not start.
pub async fn run(plan: &Plan) -> Result<Record> {
    let largest = Size {
        nodes: NODES[NODES.len() - 1],
        ..BASE
    };
    machine::machine()?.check(&largest, 0)?;
    let mut record = Record::new(plan.seed);
    for sweep in COMPUTED {
        let sizes = sweep.sizes.map(|value| sweep.base.with(sweep.axis, value));
        let runs = computed(plan, sweep.computation, &sizes, &mut record).await;
        let of = format!("{}: ", sweep.computation.name());
        lines(
            sweep.axis,
            &runs,
            figures(sweep.computation),
            &of,
            &mut record,
        );
    }
    settings_together(plan, &mut record).await;
    let mut runs = Vec::new();
    for nodes in NODES {
        let size = Size { nodes, ..BASE };
        runs.extend(network(plan, &size, &mut record).await?);
    }
    record.note(MEMORY_TOLD);
    network_lines(&runs, &mut record);
    Ok(record)
}

/// A computation at some sizes, one after another.
async fn computed(
    plan: &Plan,
    computation: Computation,
    sizes: &[Size],
    record: &mut Record,
) -> Vec<Run> {
    let mut runs = Vec::new();
    for size in sizes {
        if plan.deadline.left().is_zero() {
            record.left_out(format!(
                "{} at {size:?}: the time is over",
                computation.name()
            ));
            break;
        }
        match computation::measured(&plan.rig, computation, size, plan.deadline.left()).await {
            Ok(run) => {
                record.add(run.clone());
                runs.push(run);
            }
            Err(fault) => {
                record.left_out(format!("{} at {size:?}: {fault}", computation.name()));
                break;
            }
        }
    }
    runs
}

/// Settings by services and routes, and by their product.
async fn settings_together(plan: &Plan, record: &mut Record) {
    let of = |services| {
        ROUTES_TOGETHER.map(|routes| Size {
            services,
            routes,
            ..SETTINGS_BASE
        })
    };
    let sizes: Vec<Size> = SERVICES_TOGETHER.into_iter().flat_map(of).collect();
    let runs = computed(plan, Computation::Settings, &sizes, record).await;
    products(
        (Axis::Services, Axis::Routes),
        &COMPUTED_FIGURES,
        "settings: ",
        &runs,
        record,
    );
}

/// One fleet, in a process of its own: a window at the base's rates, and others where it is swept by rates too.
async fn network(plan: &Plan, size: &Size, record: &mut Record) -> Result<Vec<Run>> {
    let fleet = fleet::Plan {
        size: *size,
        windows: windows(size),
        seconds: plan.seconds,
        seed: plan.seed,
    };
    if !plan.deadline.allows(fleet::SETTLES + 2 * fleet.window()) {
        record.left_out(format!("{} nodes: the time is over", size.nodes));
        return Ok(Vec::new());
    }
    let played = fleet::in_process(&plan.rig, &fleet, plan.deadline).await?;
    let runs = played.report.runs.clone();
    record.take_in(played);
    Ok(runs)
}

/// The rates of a fleet's windows; the base's are the first.
pub fn windows(size: &Size) -> Vec<Rates> {
    let mut sizes = vec![*size];
    if NODES_TOGETHER.contains(&size.nodes) {
        sizes.extend(RESTARTS_TOGETHER.map(|restarts| Size { restarts, ..*size }));
    }
    if size.nodes == BASE.nodes {
        sizes.extend(RESTARTS.map(|restarts| Size { restarts, ..*size }));
        sizes.extend(CHANGES.map(|changes| Size { changes, ..*size }));
    }
    let mut windows: Vec<Rates> = Vec::with_capacity(sizes.len());
    for rates in sizes.iter().map(Rates::of) {
        if !windows.contains(&rates) {
            windows.push(rates);
        }
    }
    windows
}

/// Lines along nodes, restarts and changes, and nodes with restarts together.
fn network_lines(runs: &[Run], record: &mut Record) {
    let of = |holds: &dyn Fn(&Size) -> bool| -> Vec<Run> {
        runs.iter()
            .filter(|run| holds(&run.size))
            .cloned()
            .collect()
    };
    let by_nodes = of(&|size| Rates::of(size) == Rates::of(&BASE));
    let figures: Vec<Figure> = NETWORK_FIGURES
        .into_iter()
        .chain([NETWORK_MEMORY])
        .collect();
    lines(Axis::Nodes, &by_nodes, &figures, "", record);
    let by_restarts = of(&|size| size.nodes == BASE.nodes && size.changes == BASE.changes);
    lines(Axis::Restarts, &by_restarts, &NETWORK_FIGURES, "", record);
    let by_changes = of(&|size| size.nodes == BASE.nodes && size.restarts == BASE.restarts);
    lines(Axis::Changes, &by_changes, &NETWORK_FIGURES, "", record);
    let together = of(&|size| NODES_TOGETHER.contains(&size.nodes));
    products(
        (Axis::Nodes, Axis::Restarts),
        &NETWORK_FIGURES[..3],
        "",
        &together,
        record,
    );
}

/// Lines through the figures of runs along an axis.
fn lines(axis: Axis, runs: &[Run], figures: &[Figure], of: &str, record: &mut Record) {
    for (name, figure) in figures {
        let point = |run: &Run| Some((run.size.get(axis) as f64, figure(run)?));
        let points: Vec<(f64, f64)> = runs.iter().filter_map(point).collect();
        match fit::slope(axis, &format!("{of}{name}"), &points) {
            Some(slope) => record.add_slope(slope),
            None => record.left_out(format!(
                "{of}{name} over {axis:?}: no line through {} points",
                points.len()
            )),
        }
    }
}

/// Fits of the figures of runs by two axes and their product.
fn products(axes: (Axis, Axis), figures: &[Figure], of: &str, runs: &[Run], record: &mut Record) {
    for (name, figure) in figures {
        let named = format!("{of}{name}");
        match product(axes, &named, *figure, runs) {
            Some(product) => {
                print_product(&product);
                record.products.push(product);
            }
            None => record.left_out(format!("{:?} and {:?} together: {named}", axes.0, axes.1)),
        }
    }
}

/// A figure by two axes and their product.
pub fn product(
    axes: (Axis, Axis),
    name: &str,
    figure: fn(&Run) -> Option<f64>,
    runs: &[Run],
) -> Option<Product> {
    let at = |run: &Run, axis: Axis| run.size.get(axis) as f64;
    let point = |run: &Run| Some((at(run, axes.0), at(run, axes.1), figure(run)?));
    let points: Vec<(f64, f64, f64)> = runs.iter().filter_map(point).collect();
    let rows: Vec<Vec<f64>> = points
        .iter()
        .map(|(x, y, _)| vec![1.0, *x, *y, x * y])
        .collect();
    let figures: Vec<f64> = points.iter().map(|(_, _, figure)| *figure).collect();
    let fit = fit::least_squares(&rows, &figures)
        .filter(|fit| fit.errors.iter().all(|e| e.is_finite()))?;
    Some(Product {
        axes,
        figure: name.to_owned(),
        points,
        factors: fit.factors,
        standard_errors: fit.errors,
    })
}

fn print_product(product: &Product) {
    let (one, other) = product.axes;
    let terms = [
        "constant".to_owned(),
        format!("{one:?}"),
        format!("{other:?}"),
        format!("{one:?} x {other:?}"),
    ];
    let parts: Vec<String> = terms
        .iter()
        .zip(product.factors.iter().zip(&product.standard_errors))
        .map(|(term, (factor, error))| format!("{term} {factor:.3e} (standard error {error:.1e})"))
        .collect();
    println!(
        "{one:?} and {other:?} together, {}: {}",
        product.figure,
        parts.join(", ")
    );
}
