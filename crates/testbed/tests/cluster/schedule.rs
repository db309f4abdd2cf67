//! A schedule of faults that is generated from a seed.

use crate::fleets::{assert_no_violations, reserve_fleet, start, wait_until_explained};
use reelfall_testbed::fleet::schedule::{execute, generate, Step};
use reelfall_testbed::fleet::FleetSpec;
use std::time::Duration;

const SEED: u64 = 20_261_201;
const NODE_COUNT: usize = 7;
const SERVER_COUNT: usize = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invariants_hold_on_a_generated_schedule() {
    let _reservation = reserve_fleet().await;
    let mut fleet = start(FleetSpec {
        node_count: NODE_COUNT,
        ..FleetSpec::default()
    })
    .await;
    let steps = generate(SEED, NODE_COUNT, SERVER_COUNT, Duration::from_secs(15));
    let parsed: Vec<Step> = steps
        .iter()
        .map(|step| Step::parse(&step.to_line()).unwrap())
        .collect();
    assert_eq!(
        steps, parsed,
        "the text form of the schedule does not parse to the same steps"
    );
    let load = fleet.start_load(30.0, 0.3, 7);
    execute(&mut fleet, &steps).await.unwrap();
    load.stop().await;
    fleet
        .wait_until("all nodes are members again", async |fleet| {
            fleet.running_nodes().len() == NODE_COUNT && fleet.is_converged().await
        })
        .await
        .unwrap();
    fleet.ban_server(2, 3, Some(60)).await.unwrap();
    wait_until_explained(&fleet, "s3", "s3: out by hand").await;
    assert_no_violations(&fleet);
}
