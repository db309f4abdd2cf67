//! The outcome of the load of a run. A run whose load was not served shows nothing, even if it has no other findings.

use super::{Finding, ProcessEnd, Rule};
use crate::fleet::history::{Event, TimedEvent};
use crate::soak::plan::{EndingsPlan, SignalTime};
use crate::soak::record::{RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// While servers and discovery are healthy, at least this share of the answers has status 200.
pub const MIN_SERVED_RATIO: f64 = 0.9;
const OK: u16 = 200;

/// Counts of the requests of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// Number of requests.
    pub requests: usize,
    /// Number of answers by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of answers other than 200, by their text.
    pub reasons: BTreeMap<String, usize>,
    /// Number of attempts that reached servers.
    pub attempts: usize,
}

impl LoadSummary {
    /// Summarizes the load that clients and servers recorded.
    pub(super) fn of_record(requests: &[RequestRecord], events: &[ServerRecord]) -> LoadSummary {
        let received = |event: &&ServerRecord| event.event == ServerEvent::Received;
        let mut summary = LoadSummary {
            requests: requests.len(),
            attempts: events.iter().filter(received).count(),
            ..LoadSummary::default()
        };
        for request in requests {
            if let RequestEnd::Answered { status, .. } = request.end {
                *summary.statuses.entry(status).or_default() += 1;
            }
            if let Some(reason) = &request.failure_text {
                *summary.reasons.entry(reason.clone()).or_default() += 1;
            }
        }
        summary
    }

    /// Summarizes the load of a fleet run.
    pub fn of_fleet(events: &[TimedEvent]) -> LoadSummary {
        let mut summary = LoadSummary::default();
        for entry in events {
            match &entry.event {
                Event::RequestSent { .. } => summary.requests += 1,
                Event::AttemptReceived { .. } => summary.attempts += 1,
                Event::ResponseReceived {
                    status: Some(status),
                    ..
                } => *summary.statuses.entry(*status).or_default() += 1,
                _ => {}
            }
        }
        summary
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &LoadSummary) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }
}

/// Returns a finding if less than [`MIN_SERVED_RATIO`] of the answers were 200 in a time without faults.
pub fn unserved(answers: usize, served: usize, from: Duration, at: Duration) -> Option<Finding> {
    let is_served = served > 0 && served as f64 >= MIN_SERVED_RATIO * answers as f64;
    (!is_served).then(|| Finding {
        rule: Rule::LoadServed,
        from,
        at,
        overrun: None,
        text: format!("{served} of {answers} answers were 200 in a time without faults"),
        disturbed_for: None,
    })
}

/// Checks the load before the faults of a run of kind `endings`. If the signals come right after the start, there is none.
pub(super) fn unserved_load(
    plan: &EndingsPlan,
    end: &ProcessEnd,
    requests: &[RequestRecord],
) -> Vec<Finding> {
    if !matches!(plan.signal_time, SignalTime::UnderLoad(_)) {
        return Vec::new();
    }
    unserved_requests(requests, Duration::ZERO, end.faults_started_at)
}

/// Checks the requests that ended between two times: the at-most-once ones and the others separately.
pub(super) fn unserved_requests(
    requests: &[RequestRecord],
    from: Duration,
    to: Duration,
) -> Vec<Finding> {
    let unserved_kind = |at_most_once: bool| {
        let statuses = requests
            .iter()
            .filter(|request| request.at_most_once == at_most_once)
            .filter(|request| (from..to).contains(&request.ended_at))
            .filter_map(|request| request.end.status());
        let (mut answers, mut served) = (0, 0);
        for status in statuses {
            answers += 1;
            served += usize::from(status == OK);
        }
        unserved(answers, served, from, to)
    };
    [false, true]
        .into_iter()
        .filter_map(unserved_kind)
        .collect()
}
