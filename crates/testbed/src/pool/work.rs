//! Processes one request at a server: service time, effects and injected fault. Called by `respond`.

use super::app::Completion;
use super::server_state::{lock, ServerState};
use std::time::Duration;

/// Interval at which a frozen request checks whether it may continue.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The outcome of processing a request.
pub(super) enum WorkOutcome {
    Completed,
    Failed,
    Corrupted,
    Shed,
    Truncated,
    ConnectionClosed,
}

/// Processes a request and applies its effects.
pub(super) async fn process(
    state: &ServerState,
    effect_ids: &[String],
    completion: Completion,
) -> WorkOutcome {
    let behavior = lock(&state.behavior).clone();
    // One sample selects at most one fault: each fault covers a part of [0, 1), in the order of the checks.
    let sample = lock(&state.rng).next_fraction();
    wait_while_frozen(state).await;
    let mut threshold = behavior.shed_ratio;
    if sample < threshold {
        return WorkOutcome::Shed;
    }
    threshold += behavior.close_before_effect_ratio;
    if sample < threshold || completion == Completion::CloseBeforeEffect {
        return WorkOutcome::ConnectionClosed;
    }
    threshold += behavior.error_ratio;
    if sample < threshold {
        state.apply_effects(effect_ids);
        return WorkOutcome::Failed;
    }
    let Ok(_worker) = state.free_workers.acquire().await else {
        return WorkOutcome::ConnectionClosed;
    };
    state.apply_effects(effect_ids);
    threshold += behavior.close_after_effect_ratio;
    if sample < threshold || completion == Completion::CloseAfterEffect {
        return WorkOutcome::ConnectionClosed;
    }
    tokio::time::sleep(behavior.service_time).await;
    if completion == Completion::TruncateResponse {
        return WorkOutcome::Truncated;
    }
    threshold += behavior.corrupt_ratio;
    if sample < threshold {
        return WorkOutcome::Corrupted;
    }
    WorkOutcome::Completed
}

async fn wait_while_frozen(state: &ServerState) {
    while lock(&state.behavior).is_frozen {
        tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
    }
}
