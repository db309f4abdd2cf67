//! Sweeps and their fleets.

use crate::{PROGRAM, SIZE, TIMEOUT};
use reelfall_capacity::scale::computation::Computation;
use reelfall_capacity::scale::limits::Deadline;
use reelfall_capacity::scale::report::{Axis, Size, Source};
use reelfall_capacity::scale::schedule::{Rates, SECONDS_PER_DAY};
use reelfall_capacity::scale::{fleet, sweep};
use std::path::Path;
use std::time::Duration;

#[tokio::test]
async fn a_fleet_runs_in_a_process_of_its_own_with_memory_in_its_first_window_only() {
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
    let nobody = Path::new("/nowhere/at/all");
    assert!(
        fleet::run_in_process(nobody, &plan, Deadline::after(TIMEOUT))
            .await
            .is_err()
    );
}

#[tokio::test]
async fn a_fleet_omits_its_windows_after_the_deadline() {
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
fn every_axis_is_swept_over_at_least_five_sizes_and_settings_up_to_the_target() {
    let by_rates = [
        (Axis::Nodes, &sweep::NODES[..]),
        (Axis::Restarts, &sweep::RESTARTS[..]),
    ];
    let others = [(Axis::Changes, &sweep::CHANGES[..])];
    let computed = sweep::COMPUTATIONS
        .iter()
        .map(|sweep| (sweep.axis, &sweep.sizes[..]));
    let all: Vec<(Axis, &[usize])> = by_rates.into_iter().chain(others).chain(computed).collect();
    for axis in [
        Axis::Nodes,
        Axis::Servers,
        Axis::Services,
        Axis::Routes,
        Axis::Tenants,
        Axis::Changes,
        Axis::Restarts,
    ] {
        let sizes: Vec<_> = all.iter().filter(|(of, _)| *of == axis).collect();
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
        // A file has a route for each service at least: no axis may move another.
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
fn a_fleet_starts_with_the_base_rates_and_repeats_none() {
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
    let of_base = sweep::window_rates(&sweep::BASE).len();
    assert_eq!(of_base, sweep::RESTARTS.len() + sweep::CHANGES.len() - 1);
}
