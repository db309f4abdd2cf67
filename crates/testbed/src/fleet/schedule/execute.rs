//! Execution of a schedule on a fleet.

use super::Step;
use crate::fleet::history::Event;
use crate::fleet::TestFleet;
use crate::Result;

/// Executes a schedule. Steps that do not apply to the state of a node are skipped, so that any part of a schedule can be
/// executed.
///
/// # Errors
/// Fails if a process does not start or does not terminate.
pub async fn execute(fleet: &mut TestFleet, steps: &[Step]) -> Result<()> {
    for step in steps {
        if !matches!(step, Step::Wait(_)) {
            fleet.history.record(Event::ScheduleStep(step.to_line()));
        }
        execute_step(fleet, step).await?;
    }
    Ok(())
}

async fn execute_step(fleet: &mut TestFleet, step: &Step) -> Result<()> {
    match step {
        Step::Wait(duration) => tokio::time::sleep(*duration).await,
        Step::Partition { .. }
        | Step::Heal
        | Step::SetDatagramFaults { .. }
        | Step::SetDatagramDelay { .. } => change_network(fleet, step),
        Step::SetNodePaused { node, paused } => {
            if fleet.address(*node).is_some() {
                fleet.set_paused(*node, *paused);
            }
        }
        Step::KillNode(node) => fleet.kill(*node),
        Step::StartNode(node) => {
            if fleet.address(*node).is_none() {
                fleet.start_node(*node).await?;
            }
        }
        Step::TerminateNode(node) => {
            if fleet.running_nodes().contains(node) {
                fleet.terminate(*node).await?;
            }
        }
        Step::SetServerPaused { server, paused } => {
            fleet.servers[*server].update_behavior(|behavior| behavior.is_frozen = *paused);
        }
        Step::SetServerFailures { server, ratio } => {
            fleet.servers[*server].update_behavior(|behavior| behavior.error_ratio = *ratio);
        }
        // A node under faults may not respond. The history contains the accepted bans.
        Step::BanServer {
            node,
            server,
            seconds,
        } => {
            let _ = fleet.ban_server(*node, *server, *seconds).await;
        }
        Step::LiftBan { node, server } => {
            let _ = fleet.lift_ban(*node, *server).await;
        }
    }
    Ok(())
}

fn change_network(fleet: &TestFleet, step: &Step) {
    let network = fleet.network();
    match step {
        Step::Partition {
            from,
            to,
            both_directions,
        } => network.partition(from, to, *both_directions),
        Step::Heal => network.heal(),
        Step::SetDatagramFaults {
            loss_ratio,
            duplicate_ratio,
            corruption_ratio,
        } => network.update_faults(|faults| {
            faults.loss_ratio = *loss_ratio;
            faults.duplicate_ratio = *duplicate_ratio;
            faults.corruption_ratio = *corruption_ratio;
        }),
        Step::SetDatagramDelay { min, max } => network.update_faults(|faults| {
            faults.min_delay = *min;
            faults.max_delay = *max;
        }),
        _ => {}
    }
}
