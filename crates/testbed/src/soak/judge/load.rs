//! What became of the load of a day. A day whose load was not served has shown nothing, however few findings it has.

use super::{Finding, ProcessEnd, Rule};
use crate::fleet::history::{Event, TimedEvent};
use crate::soak::plan::{EndingsPlan, SignalTime};
use crate::soak::record::{RequestEnd, RequestRecord, ServerEvent, ServerRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// While servers and discovery are well, at least this share of the answers is 200.
pub const MIN_SERVED_RATIO: f64 = 0.9;
const OK: u16 = 200;

/// What became of the requests of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// Number of requests.
    pub requests: usize,
    /// Requests by the status of their answer.
    pub statuses: BTreeMap<u16, usize>,
    /// Answers other than 200, by their text.
    pub reasons: BTreeMap<String, usize>,
    /// Attempts that reached servers.
    pub attempts: usize,
}

impl LoadSummary {
    /// The load that clients and servers have recorded.
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

    /// The load of a day of a fleet.
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

    /// Adds another day.
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

/// The finding of a load that was not served although nothing stood in its way.
pub fn unserved(answers: usize, served: usize, from: Duration, at: Duration) -> Option<Finding> {
    let is_served = served > 0 && served as f64 >= MIN_SERVED_RATIO * answers as f64;
    (!is_served).then(|| Finding {
        rule: Rule::LoadServed,
        from,
        at,
        overrun: None,
        text: format!("{served} of {answers} answers were 200 although nothing stood in the way"),
        disturbed_for: None,
    })
}

/// The same for each kind of request of a day of endings. Where the signals come right after the start, no load comes
/// before them.
pub(super) fn unserved_load(
    plan: &EndingsPlan,
    end: &ProcessEnd,
    requests: &[RequestRecord],
) -> Vec<Finding> {
    if !matches!(plan.signal_time, SignalTime::UnderLoad(_)) {
        return Vec::new();
    }
    unserved_requests(requests, Duration::ZERO, end.trouble_at)
}

/// The same for the requests that ended between two times.
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
