//! Single computations, in this process and in separate processes.

use crate::{PROGRAM, SIZE, TIMEOUT};
use reelfall_capacity::scale::computation::{self, Computation};
use reelfall_capacity::scale::computation_process;
use reelfall_capacity::scale::report::{Size, Source};
use std::path::Path;
use std::time::Duration;

#[test]
fn server_list_cost_grows_with_the_list() {
    let cost_of_list = |servers| {
        computation::run_once(Computation::ServerList, &Size { servers, ..SIZE }).expect("a cost")
    };
    let (few, many) = (cost_of_list(10), cost_of_list(200));
    assert!(few.cpu > 0.0 && many.bytes > 15 * few.bytes);
    let change = computation::run_once(Computation::ServerChange, &SIZE).expect("a cost");
    assert!(change.cpu > 0.0 && change.bytes < few.bytes);
}

#[test]
fn empty_or_invalid_settings_are_rejected() {
    let error = computation::read_settings("")
        .expect_err("an error")
        .to_string();
    assert!(error.contains("settings input is empty"), "{error}");
    let error = computation::read_settings("[process]\nnodes = 0\n")
        .expect_err("an error")
        .to_string();
    assert!(
        error.contains("was rejected") && error.contains("errors: "),
        "{error}"
    );
}

#[tokio::test]
async fn computation_is_measured_in_a_separate_process() {
    let run =
        computation_process::measure(Path::new(PROGRAM), Computation::ServerList, &SIZE, TIMEOUT)
            .await
            .expect("a run");
    assert_eq!(
        (run.name.as_str(), run.source),
        ("server-list", Source::Computation)
    );
    assert!(run.per_node.cpu > 0.0);
    let late = computation_process::measure(
        Path::new(PROGRAM),
        Computation::ServerList,
        &SIZE,
        Duration::ZERO,
    )
    .await;
    assert!(late
        .expect_err("no time")
        .to_string()
        .contains("did not finish within"));
    let missing_program = Path::new("/nonexistent/program");
    assert!(
        computation_process::measure(missing_program, Computation::ServerList, &SIZE, TIMEOUT)
            .await
            .is_err()
    );
}

#[tokio::test]
async fn reading_settings_is_measured_in_a_separate_process() {
    let measured = |size: Size| async move {
        let run =
            computation_process::measure(Path::new(PROGRAM), Computation::Settings, &size, TIMEOUT)
                .await;
        run.expect("a run")
    };
    let few = measured(SIZE).await;
    let many = measured(Size {
        services: 200,
        routes: 4_000,
        tenants: 40_000,
        ..SIZE
    })
    .await;
    assert_eq!((few.name.as_str(), few.size), ("settings", SIZE));
    let length = computation::input(Computation::Settings, &SIZE).len() as u64;
    assert_eq!(few.read_bytes, Some(length));
    assert!(
        many.read_bytes > Some(100 * length),
        "{:?}",
        many.read_bytes
    );
    assert!(many.per_node.cpu > few.per_node.cpu);
    // The tables of 40,000 tenants and 4,000 routes take several megabytes.
    let (few_memory, many_memory) = (
        few.per_node.memory.expect("memory"),
        many.per_node.memory.expect("memory"),
    );
    assert!(many_memory > few_memory + 4e6, "{few_memory} {many_memory}");
}
