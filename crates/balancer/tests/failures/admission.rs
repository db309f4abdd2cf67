//! Admission under overload, and with late responses that are no sign of overload.

use crate::common::{settings, Node};
use crate::{classes, AT_MOST_ONCE_CLASS, DEADLINE, IDEMPOTENT_CLASS, REQUESTS_PER_TIMER};
use reelfall_balancer::interface::{ClassId, Outcome, RequestId, ServerId, Time};

#[test]
fn overload_sheds_some_requests_and_those_of_low_priority_first() {
    let mut classes = classes();
    classes[usize::from(AT_MOST_ONCE_CLASS)].priority_weight = 10.0;
    let mut node = Node::new(settings(classes), 4);
    let mut rejected = [0, 0];
    for index in 0..800u32 {
        node.now += 0.01;
        if index % REQUESTS_PER_TIMER == 0 {
            node.sweep();
        }
        let class = (index % 2) as ClassId;
        let (request, server) = node.request(class, None, DEADLINE);
        match server {
            Some(server) => {
                node.now += 0.19;
                node.end_attempt(request, 0, server, Outcome::Served, 0.19);
            }
            None => rejected[usize::from(class)] += 1,
        }
    }
    assert!(rejected[0] > 100, "{rejected:?}");
    assert!(rejected[0] > rejected[1], "{rejected:?}");
}

/// An attempt in flight, and when its response arrives.
struct InFlight {
    response_at: Time,
    request: RequestId,
    server: ServerId,
}

#[test]
fn short_run_of_late_responses_is_not_taken_for_overload() {
    const REQUEST_INTERVAL: Time = 0.0005;
    const RESPONSE_TIME: Time = 0.005;
    /// Longer than the latency objective of the settings.
    const LATE_RESPONSE_TIME: Time = 0.21;
    let mut node = Node::new(settings(classes()), 10);
    let mut in_flight: Vec<InFlight> = vec![];
    for index in 0..6000 {
        node.now = f64::from(index) * REQUEST_INTERVAL;
        if index % 133 == 0 {
            node.sweep();
        }
        let now = node.now;
        while let Some(due) = in_flight
            .iter()
            .position(|attempt| attempt.response_at <= now)
        {
            let InFlight {
                request, server, ..
            } = in_flight.remove(due);
            node.end_attempt(request, 0, server, Outcome::Served, 0.0);
        }
        let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
        let server = server.unwrap_or_else(|| panic!("request {index} was rejected"));
        let is_late = index % 100 < 8;
        let response_time = if is_late {
            LATE_RESPONSE_TIME
        } else {
            RESPONSE_TIME
        };
        in_flight.push(InFlight {
            response_at: node.now + response_time,
            request,
            server,
        });
    }
}

#[test]
fn single_quick_responses_do_not_raise_admission_during_overload() {
    /// Longer than the latency objective of the settings.
    const LATE_RESPONSE_TIME: Time = 0.25;
    const QUICK_RESPONSE_TIME: Time = 0.02;
    let mut node = Node::new(settings(classes()), 20);
    let mut admitted = 0;
    for index in 0..2000u32 {
        node.now += 0.01;
        if index % REQUESTS_PER_TIMER == 0 {
            node.sweep();
        }
        let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
        let Some(server) = server else { continue };
        admitted += u32::from(index >= 1000);
        let is_quick = request % 3 == 0;
        let latency = if is_quick {
            QUICK_RESPONSE_TIME
        } else {
            LATE_RESPONSE_TIME
        };
        node.now += latency;
        node.end_attempt(request, 0, server, Outcome::Served, latency);
    }
    // At least 100 requests are admitted; if quick responses raised admission, it would be several times as many.
    assert!(admitted < 130, "{admitted} of 1000 admitted");
}
