//! Sweeps and the processes of their fleets.

use crate::{PROGRAM, SIZE, TIMEOUT};
use reelfall_capacity::scale::computation::Computation;
use reelfall_capacity::scale::limits::Deadline;
use reelfall_capacity::scale::report::{Axis, Size, Source};
use reelfall_capacity::scale::schedule::{Rates, SECONDS_PER_DAY};
use reelfall_capacity::scale::{fleet, sweep};
use std::path::Path;
use std::time::Duration;

#[tokio::test]
async fn fleet_process_reports_memory_of_its_first_window_only() {
    let rates = Rates {
        changes: SECONDS_PER_DAY as usize,
        restarts: SECONDS_PER_DAY as usize,
    };
    let plan = fleet::Plan {
        size: SIZE,
        windows: vec![Rates::NONE, rates],
        window_seconds: 1.0,
        seed: 1,
    };
    let record = fleet::run_in_process(Path::new(PROGRAM), &plan, Deadline::after(TIMEOUT))
        .await
        .expect("a record");
    assert!(!record.is_partial, "{:?}", record.notes);
    let runs = &record.report.runs;
    assert_eq!(
        runs.iter()
            .map(|run| Rates::of(&run.size))
            .collect::<Vec<_>>(),
        plan.windows
    );
    assert!(runs
        .iter()
        .all(|run| run.source == Source::HollowNodes && run.size.nodes == SIZE.nodes));
    let memory: Vec<bool> = runs
        .iter()
        .map(|run| run.per_node.memory.is_some_and(|memory| memory > 0.0))
        .collect();
    assert_eq!(memory, [true, false]);
    assert!(!record
        .to_json()
        .expect("a text")
        .contains("\"memory\": null"));
    let missing_program = Path::new("/nonexistent/program");
    assert!(
        fleet::run_in_process(missing_program, &plan, Deadline::after(TIMEOUT))
            .await
            .is_err()
    );
}

#[tokio::test]
async fn fleet_omits_windows_after_the_deadline() {
    let plan = fleet::Plan {
        size: SIZE,
        windows: vec![Rates::NONE],
        window_seconds: 1.0,
        seed: 1,
    };
    let record =
        fleet::run_in_process(Path::new(PROGRAM), &plan, Deadline::after(Duration::ZERO)).await;
    let record = record.expect("a record");
    assert!(
        record.is_partial && record.report.runs.is_empty(),
        "{:?}",
        record.notes
    );
}

#[test]
fn every_axis_has_five_sizes_and_settings_reach_the_target() {
    let rate_sweeps = [
        (Axis::Nodes, &sweep::NODES[..]),
        (Axis::Restarts, &sweep::RESTARTS[..]),
    ];
    let change_sweeps = [(Axis::Changes, &sweep::CHANGES[..])];
    let computation_sweeps = sweep::COMPUTATIONS
        .iter()
        .map(|sweep| (sweep.axis, &sweep.sizes[..]));
    let all: Vec<(Axis, &[usize])> = rate_sweeps
        .into_iter()
        .chain(change_sweeps)
        .chain(computation_sweeps)
        .collect();
    for axis in [
        Axis::Nodes,
        Axis::Servers,
        Axis::Services,
        Axis::Routes,
        Axis::Tenants,
        Axis::Changes,
        Axis::Restarts,
    ] {
        let sizes: Vec<_> = all.iter().filter(|(swept, _)| *swept == axis).collect();
        assert!(!sizes.is_empty(), "{axis:?}");
        assert!(
            sizes
                .iter()
                .all(|(_, sizes)| sizes.len() >= 5 && sizes.is_sorted()),
            "{sizes:?}"
        );
    }
    for sweep in sweep::COMPUTATIONS
        .iter()
        .filter(|sweep| sweep.computation == Computation::Settings)
    {
        assert_eq!(
            sweep.sizes.last().copied(),
            Some(Size::TARGET.get(sweep.axis))
        );
        // Each service needs at least one route; otherwise sweeping services would change the number of routes too.
        assert!(sweep.sizes.iter().all(|value| {
            let size = sweep.base.with(sweep.axis, *value);
            size.routes >= size.services
        }));
    }
    assert!(sweep::INTERACTION_SERVICES
        .iter()
        .all(|services| *services <= sweep::INTERACTION_ROUTES[0]));
}

#[test]
fn window_rates_start_with_the_base_and_are_unique() {
    for nodes in sweep::NODES {
        let windows = sweep::window_rates(&Size {
            nodes,
            ..sweep::BASE
        });
        assert_eq!(windows[0], Rates::of(&sweep::BASE));
        assert!(windows
            .iter()
            .all(|rates| windows.iter().filter(|other| *other == rates).count() == 1));
    }
    let base_windows = sweep::window_rates(&sweep::BASE).len();
    assert_eq!(
        base_windows,
        sweep::RESTARTS.len() + sweep::CHANGES.len() - 1
    );
}
