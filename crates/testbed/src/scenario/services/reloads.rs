//! Reloads under load: no reload loses a request. Called by `run` of the parent module.

use super::pools::{service_settings, ServiceSettings};
use super::{check_answered, workload, Report, ServicePools, ROLLOUT_RATE, TOGGLE_RATE};
use crate::load::{self, LoadStats, Workload};
use crate::node::Node;
use crate::pool::{Pool, ServerBehavior};
use crate::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

const SERVICES: [&str; 3] = ["evaluate", "toggle", "rollout"];
const EVALUATE_RATE: f64 = 60.0;
/// The load is repeated until all reloads are done.
const LOAD_DURATION: Duration = Duration::from_millis(500);
const LOAD_SEED_BASE: u64 = 100;
const SPARE_SEED: u64 = 91;
const SPARE_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Reloads the settings under load, each time with another change, and checks that every request is served or rejected.
pub(super) async fn check(
    report: &mut Report,
    node: &mut Node,
    pools: &ServicePools,
    settings: &str,
    reloads: u32,
) -> Result<()> {
    let behavior = ServerBehavior::healthy(SPARE_SERVICE_TIME);
    let spare = Pool::start("spare", 1, behavior, SPARE_SEED).await?;
    let changes = changed_settings(pools, settings, &spare);
    let (stop, stopped) = watch::channel(false);
    let load = tokio::spawn(run_load_until(node.address(), stopped));
    for change in changes.iter().cycle().take(reloads as usize) {
        node.reload(change).await?;
    }
    stop.send(true)?;
    let results = load.await?;
    for (stats, name) in results.iter().zip(SERVICES) {
        report.add_figure(&format!("{name}_in_{reloads}_reloads"), stats.figures());
        check_answered(report, &format!("{name} during reloads"), stats);
        let failed = stats.sent - stats.with_status(&[200, 429, 503]);
        report.check(failed == 0, || {
            format!(
                "{name}: {failed} requests failed during reloads: {:?}",
                stats.statuses
            )
        });
    }
    Ok(())
}

/// The settings with changed limits, an added service, a draining server and another deadline, and the original settings.
fn changed_settings(pools: &ServicePools, settings: &str, spare: &Pool) -> [String; 5] {
    let spare_service = service_settings(&ServiceSettings {
        name: "extra",
        retry_safety: "safe",
        host: "extra.example.org",
        method: "GET",
        limits: "",
        pool: spare,
    });
    let server = format!("address = \"{}\"\n", pools.toggle.servers[0].address);
    let draining_server = format!("{server}state = \"draining\"\n");
    [
        settings.replace("burst = 20", "burst = 30"),
        format!("{settings}{spare_service}"),
        settings.replacen(&server, &draining_server, 1),
        // A changed deadline creates a new pool; requests in flight stay with the old one.
        settings.replace("deadline = \"600ms\"", "deadline = \"650ms\""),
        settings.to_owned(),
    ]
}

/// Repeats the load until it is stopped. The statistics are in the order of the services.
async fn run_load_until(address: SocketAddr, mut stopped: watch::Receiver<bool>) -> Vec<LoadStats> {
    let mut totals = vec![LoadStats::default(); SERVICES.len()];
    for round in 0u64.. {
        let workloads = workloads(round);
        let seed = LOAD_SEED_BASE + round;
        let results = load::run(address, &workloads, LOAD_DURATION, seed).await;
        for (total, stats) in totals.iter_mut().zip(&results) {
            total.add_counts(stats);
        }
        if *stopped.borrow_and_update() {
            break;
        }
    }
    totals
}

fn workloads(round: u64) -> Vec<Workload> {
    let run = format!("reload{round}");
    SERVICES
        .iter()
        .zip([EVALUATE_RATE, TOGGLE_RATE, ROLLOUT_RATE])
        .map(|(service, rate)| workload(&run, service, rate))
        .collect()
}
