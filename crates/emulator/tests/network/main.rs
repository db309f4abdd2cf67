//! The network between endpoints in virtual time.

mod accounts;
mod delivery;
mod processes;
mod timers;
mod topology;

use reelfall_emulator::control::endpoint::{Endpoint, OutgoingFrame};
use reelfall_emulator::control::links::{Link, Links};
use reelfall_emulator::control::network::Network;
use reelfall_emulator::control::topology::Topology;

const ENDPOINTS: u32 = 4;
const SEED: u64 = 7;

/// The delay of all links of most tests, in seconds.
const DELAY: f64 = 0.01;

#[derive(Clone, Debug, PartialEq)]
struct ReceivedFrame {
    at: f64,
    from: u32,
    bytes: Vec<u8>,
}

/// Records the frames that it receives, and sends a frame to its peer when its timer is due.
#[derive(Default)]
struct Recorder {
    received: Vec<ReceivedFrame>,
    polls: u32,
    /// The period of its timer; 0 for none.
    period: f64,
    next_poll: f64,
    peer: u32,
}

impl Recorder {
    fn with_timer(period: f64, peer: u32) -> Recorder {
        Recorder {
            period,
            next_poll: period,
            peer,
            ..Recorder::default()
        }
    }

    fn frames(&self) -> Vec<&[u8]> {
        self.received
            .iter()
            .map(|frame| frame.bytes.as_slice())
            .collect()
    }
}

impl Endpoint for Recorder {
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], _sends: &mut Vec<OutgoingFrame>) {
        self.received.push(ReceivedFrame {
            at: now,
            from,
            bytes: frame.to_vec(),
        });
    }

    fn poll(&mut self, _now: f64, sends: &mut Vec<OutgoingFrame>) {
        self.polls += 1;
        self.next_poll += self.period;
        sends.push(OutgoingFrame {
            to: self.peer,
            frame: self.polls.to_be_bytes().to_vec(),
        });
    }

    fn next_wakeup(&self) -> f64 {
        if self.period > 0.0 {
            self.next_poll
        } else {
            f64::INFINITY
        }
    }
}

/// Links with the same fixed delay and without loss.
fn uniform_links(delay: f64) -> Links {
    let link = Link {
        min_delay: delay,
        max_delay: delay,
        loss: 0.0,
        duplication: 0.0,
    };
    Links {
        within_zone: link,
        within_region: link,
        between_regions: link,
        overhead: 0,
        ..Links::default()
    }
}

/// Endpoints in two zones of each of two regions.
fn topology() -> Topology {
    Topology::even(&[2, 2], ENDPOINTS as usize)
}

/// A network whose endpoints have no timers.
fn network_without_timers(links: Links) -> Network<Recorder> {
    let mut network = Network::new(topology(), links, SEED);
    for endpoint in 0..ENDPOINTS {
        network.start(endpoint, Recorder::default());
    }
    network
}

fn send(network: &mut Network<Recorder>, from: u32, to: u32, frame: &[u8]) {
    network.with(from, |_, _, sends| {
        sends.push(OutgoingFrame {
            to,
            frame: frame.to_vec(),
        });
    });
}

fn running(network: &Network<Recorder>, endpoint: u32) -> &Recorder {
    network.endpoint(endpoint).expect("the endpoint runs")
}

/// The frames that an endpoint has received; none if it does not run.
fn frames(network: &Network<Recorder>, endpoint: u32) -> Vec<&[u8]> {
    network
        .endpoint(endpoint)
        .map(Recorder::frames)
        .unwrap_or_default()
}
