//! Sweeps: runs along one axis at a time, then along two together, and fits through them.

use super::computation::Computation;
use super::figure::{
    computation_figures, Figure, INTERACTION_FIGURES, NETWORK_FIGURES, NETWORK_MEMORY,
    SETTINGS_FIGURES,
};
use super::limits::Deadline;
use super::record::{AxisPair, Record};
use super::report::{Axis, Run, Size};
use super::schedule::Rates;
use super::sweep_fit::{add_interactions, add_lines};
use super::{computation_process, fleet, machine};
use reelfall_testbed::Result;
use std::path::PathBuf;

/// The size on the axes that are not swept.
pub const BASE: Size = Size {
    nodes: 100,
    servers: 500,
    services: 25,
    routes: 1_000,
    tenants: 1_000,
    changes: 13_000,
    restarts: 18_000,
};
/// Numbers of nodes of the fleets.
pub const NODES: [usize; 6] = [50, 100, 150, 200, 250, 300];
/// Fleets at which restarts are swept too, to fit the product of nodes and restarts.
const INTERACTION_NODES: [usize; 3] = [50, 150, 300];
/// Restarts per day. The target has 18,000; the largest value is nine times that.
pub const RESTARTS: [usize; 5] = [18_000, 54_000, 90_000, 126_000, 162_000];
/// Restarts per day of the runs at [`INTERACTION_NODES`].
const INTERACTION_RESTARTS: [usize; 2] = [90_000, 162_000];
/// Changes per day; the target has 13,000.
pub const CHANGES: [usize; 5] = [13_000, 39_000, 65_000, 91_000, 117_000];
/// The size on the other axes while services, routes or tenants are swept. Each service needs at least one route, so
/// there are as many routes as the largest number of services.
pub const SETTINGS_BASE: Size = Size {
    services: 100,
    routes: 2_600,
    ..BASE
};

/// A computation over sizes of one axis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ComputationSweep {
    /// The computation.
    pub computation: Computation,
    /// The axis that is swept.
    pub axis: Axis,
    /// The size on the other axes.
    pub base: Size,
    /// The values on the axis.
    pub sizes: [usize; 6],
}

/// Numbers of servers in a list.
const LIST_SIZES: [usize; 6] = [1_000, 2_000, 3_000, 4_000, 5_000, 6_000];
/// The sweeps of computations.
pub const COMPUTATIONS: [ComputationSweep; 5] = [
    ComputationSweep {
        computation: Computation::ServerList,
        axis: Axis::Servers,
        base: BASE,
        sizes: LIST_SIZES,
    },
    ComputationSweep {
        computation: Computation::ServerChange,
        axis: Axis::Servers,
        base: BASE,
        sizes: LIST_SIZES,
    },
    ComputationSweep {
        computation: Computation::Settings,
        axis: Axis::Services,
        base: SETTINGS_BASE,
        sizes: [100, 600, 1_100, 1_600, 2_100, 2_600],
    },
    ComputationSweep {
        computation: Computation::Settings,
        axis: Axis::Routes,
        base: SETTINGS_BASE,
        sizes: [2_600, 9_250, 18_500, 37_000, 55_500, 74_000],
    },
    ComputationSweep {
        computation: Computation::Settings,
        axis: Axis::Tenants,
        base: SETTINGS_BASE,
        sizes: [1_000, 70_000, 140_000, 280_000, 420_000, 560_000],
    },
];
/// Numbers of services that are combined with each number of [`INTERACTION_ROUTES`], to fit the product of both.
pub const INTERACTION_SERVICES: [usize; 3] = [100, 1_300, 2_600];
/// Numbers of routes that are combined with each number of [`INTERACTION_SERVICES`].
pub const INTERACTION_ROUTES: [usize; 3] = [2_600, 37_000, 74_000];

/// The parameters of a sweep.
pub struct Plan {
    /// Path of this program, which measures fleets and computations in separate processes.
    pub own_program: PathBuf,
    /// Length of each window, in seconds.
    pub window_seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time at which the sweep has to end.
    pub deadline: Deadline,
}

/// Note on the windows that have no memory figure.
const MEMORY_NOTE: &str =
    "memory of a node is reported for the first window of each fleet only; the windows at further \
    rates run in the same process, whose memory includes the earlier windows";

/// Runs all sweeps. The record has notes on parts that were omitted because of failures or the deadline.
///
/// # Errors
/// If the sizes exceed the limits of the machine, or the process of a fleet fails.
pub async fn run(plan: &Plan) -> Result<Record> {
    let largest = Size {
        nodes: NODES[NODES.len() - 1],
        ..BASE
    };
    machine::detect()?.check(&largest, 0)?;
    let mut record = Record::new(plan.seed);
    for sweep in COMPUTATIONS {
        let sizes = sweep.sizes.map(|value| sweep.base.with(sweep.axis, value));
        let runs = run_computations(plan, sweep.computation, &sizes, &mut record).await;
        let figures = computation_figures(sweep.computation);
        let prefix = format!("{}: ", sweep.computation.name());
        add_lines(sweep.axis, &runs, figures, &prefix, &mut record);
    }
    run_settings_interaction(plan, &mut record).await;
    let mut runs = Vec::new();
    for nodes in NODES {
        let size = Size { nodes, ..BASE };
        runs.extend(run_fleet(plan, &size, &mut record).await?);
    }
    record.note(MEMORY_NOTE);
    add_network_fits(&runs, &mut record);
    Ok(record)
}

/// Measures a computation at some sizes, one after another, until one fails.
async fn run_computations(
    plan: &Plan,
    computation: Computation,
    sizes: &[Size],
    record: &mut Record,
) -> Vec<Run> {
    let mut runs = Vec::new();
    let name = computation.name();
    for size in sizes {
        let remaining = plan.deadline.remaining();
        if remaining.is_zero() {
            record.note_omission(format!("{name} at {size:?}: the time is over"));
            break;
        }
        match computation_process::measure(&plan.own_program, computation, size, remaining).await {
            Ok(run) => {
                record.add(run.clone());
                runs.push(run);
            }
            Err(error) => {
                record.note_omission(format!("{name} at {size:?}: {error}"));
                break;
            }
        }
    }
    runs
}

/// Measures reading settings by services and routes, and fits the figures by both and their product.
async fn run_settings_interaction(plan: &Plan, record: &mut Record) {
    let sizes_of = |services| {
        INTERACTION_ROUTES.map(|routes| Size {
            services,
            routes,
            ..SETTINGS_BASE
        })
    };
    let sizes: Vec<Size> = INTERACTION_SERVICES
        .into_iter()
        .flat_map(sizes_of)
        .collect();
    let runs = run_computations(plan, Computation::Settings, &sizes, record).await;
    add_interactions(
        AxisPair {
            first: Axis::Services,
            second: Axis::Routes,
        },
        &runs,
        &SETTINGS_FIGURES,
        "settings: ",
        record,
    );
}

/// Runs one fleet in a separate process: a window at the base rates, and windows at other rates if this size sweeps them.
async fn run_fleet(plan: &Plan, size: &Size, record: &mut Record) -> Result<Vec<Run>> {
    let fleet = fleet::Plan {
        size: *size,
        windows: window_rates(size),
        window_seconds: plan.window_seconds,
        seed: plan.seed,
    };
    let min_duration = fleet::SETTLE_DURATION + 2 * fleet.window_duration();
    if !plan.deadline.allows(min_duration) {
        record.note_omission(format!("{} nodes: the time is over", size.nodes));
        return Ok(Vec::new());
    }
    let fleet_record = fleet::run_in_process(&plan.own_program, &fleet, plan.deadline).await?;
    let runs = fleet_record.report.runs.clone();
    record.merge(fleet_record);
    Ok(runs)
}

/// Returns the rates of a fleet's windows, those of `size` first, without duplicates.
pub fn window_rates(size: &Size) -> Vec<Rates> {
    let mut sizes = vec![*size];
    if INTERACTION_NODES.contains(&size.nodes) {
        sizes.extend(INTERACTION_RESTARTS.map(|restarts| Size { restarts, ..*size }));
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

/// Adds lines along nodes, restarts and changes, and a fit by nodes and restarts together.
fn add_network_fits(runs: &[Run], record: &mut Record) {
    let select = |is_selected: &dyn Fn(&Size) -> bool| -> Vec<Run> {
        runs.iter()
            .filter(|run| is_selected(&run.size))
            .cloned()
            .collect()
    };
    let by_nodes = select(&|size| Rates::of(size) == Rates::of(&BASE));
    let figures: Vec<Figure> = NETWORK_FIGURES
        .into_iter()
        .chain([NETWORK_MEMORY])
        .collect();
    add_lines(Axis::Nodes, &by_nodes, &figures, "", record);
    let by_restarts = select(&|size| size.nodes == BASE.nodes && size.changes == BASE.changes);
    add_lines(Axis::Restarts, &by_restarts, &NETWORK_FIGURES, "", record);
    let by_changes = select(&|size| size.nodes == BASE.nodes && size.restarts == BASE.restarts);
    add_lines(Axis::Changes, &by_changes, &NETWORK_FIGURES, "", record);
    let by_both = select(&|size| INTERACTION_NODES.contains(&size.nodes));
    add_interactions(
        AxisPair {
            first: Axis::Nodes,
            second: Axis::Restarts,
        },
        &by_both,
        &INTERACTION_FIGURES,
        "",
        record,
    );
}
