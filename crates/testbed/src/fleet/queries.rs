//! Queries of the history of a fleet: attempts at a server, and the share of requests that were served.

use super::history::{Event, TimedEvent};
use super::{node_name, DEADLINE};
use std::collections::HashMap;
use std::time::Duration;

/// An attempt at a request, as a server received it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// When the server received it.
    pub at: Duration,
    /// The request's id.
    pub request_id: String,
}

/// Attempts at a server by these nodes between two times, both included.
pub fn attempts(
    events: &[TimedEvent],
    server: usize,
    from: Duration,
    to: Duration,
    nodes: &[usize],
) -> Vec<Attempt> {
    let names: Vec<String> = nodes.iter().map(|node| node_name(*node)).collect();
    let in_time = events
        .iter()
        .filter(|entry| entry.at >= from && entry.at <= to);
    let attempts = in_time.filter_map(|entry| match &entry.event {
        Event::AttemptReceived { server: by, id }
            if *by == server && names.iter().any(|name| name == node_of(id)) =>
        {
            Some(Attempt {
                at: entry.at,
                request_id: id.clone(),
            })
        }
        _ => None,
    });
    attempts.collect()
}

/// Name of the node that handled a request: the first part of the request's id.
fn node_of(request_id: &str) -> &str {
    request_id
        .split_once('-')
        .map_or(request_id, |(node, _)| node)
}

/// The share of the requests of an interval that were served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedRatio {
    /// Share of the requests that were answered 200 within [`DEADLINE`].
    pub ratio: f64,
    /// Number of requests.
    pub requests: usize,
}

/// The share of the requests sent in `from..to` that were served.
pub fn served_ratio(events: &[TimedEvent], from: Duration, to: Duration) -> ServedRatio {
    let mut sent: HashMap<&str, Duration> = HashMap::new();
    let (mut served, mut requests) = (0, 0);
    for TimedEvent { at, event } in events {
        match event {
            Event::RequestSent { id, .. } if *at >= from && *at < to => {
                sent.insert(id, *at);
                requests += 1;
            }
            Event::ResponseReceived {
                id,
                status: Some(200),
                ..
            } => {
                let sent_at = sent.get(id.as_str());
                let is_in_time = sent_at.is_some_and(|sent_at| *at - *sent_at <= DEADLINE);
                served += u32::from(is_in_time);
            }
            _ => {}
        }
    }
    ServedRatio {
        ratio: f64::from(served) / requests.max(1) as f64,
        requests,
    }
}
