//! Clients that have to be served while another one floods their node.

use crate::nodes::TestNode;
use reelfall_testbed::scripted::{connect, read_response};
use std::io::Write;
use std::time::{Duration, Instant};

/// How long these clients wait for an answer.
const TIME_LEFT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(10);

/// What the clients saw.
#[derive(Debug)]
pub struct Others {
    requests: usize,
    served: usize,
    longest: Duration,
}

impl Others {
    pub fn are_all_served_in_time(&self) -> bool {
        self.requests > 0 && self.served == self.requests && self.longest <= TIME_LEFT
    }
}

/// Sends requests one after the other, by turns on a connection that is kept and on new ones.
pub fn send_during(node: &TestNode, time: Duration) -> Others {
    let mut others = Others {
        requests: 0,
        served: 0,
        longest: Duration::ZERO,
    };
    let mut kept = connect(node.address());
    let started = Instant::now();
    while started.elapsed() < time {
        let number = node.next_request_number();
        let sent_at = Instant::now();
        let mut new;
        let stream = if others.requests.is_multiple_of(2) {
            &mut kept
        } else {
            new = connect(node.address());
            &mut new
        };
        let _ = stream.write_all(request(number).as_bytes());
        let status = read_response(stream).map(|response| response.status);
        others.requests += 1;
        others.served += usize::from(status == Some(200));
        others.longest = others.longest.max(sent_at.elapsed());
        std::thread::sleep(PAUSE);
    }
    others
}

fn request(number: usize) -> String {
    let time_left = TIME_LEFT.as_secs_f64();
    format!(
        "GET /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: o-{number}\r\nx-service-class: read\r\n\
         x-time-left: {time_left:.3}\r\n\r\n"
    )
}
