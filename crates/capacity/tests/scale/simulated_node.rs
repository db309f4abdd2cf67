//! Simulated nodes that exchange datagrams in memory, on a simulated clock.

use reelfall_capacity::scale::datagram::{classify, fleet_secret, DatagramKind};
use reelfall_capacity::scale::sampler::Sample;
use reelfall_capacity::scale::simulated_node::{FailingServer, NodeConfig, SimulatedNode};
use reelfall_cluster::fleet::OutgoingDatagram;
use std::net::SocketAddr;

/// The port of the first node.
const BASE_PORT: usize = 10_000;
/// Step of the clock, in seconds.
const STEP: f64 = 0.005;
/// Number of listed servers.
const LISTED: usize = 20;

/// A datagram in flight.
struct InFlight {
    receiver: usize,
    datagram: Vec<u8>,
}

/// A cluster of nodes that exchange datagrams in memory.
struct Cluster {
    nodes: Vec<SimulatedNode>,
    now: f64,
    in_flight: Vec<InFlight>,
    /// All datagrams sent since the last sample.
    sent: Vec<Vec<u8>>,
    /// Banned servers, by node.
    banned: Vec<Vec<String>>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (BASE_PORT + index) as u16))
}

impl Cluster {
    fn new(nodes: usize) -> Cluster {
        let config = |index: usize| NodeConfig {
            name: format!("hollow-{index}"),
            zone: String::new(),
            address: address(index),
            seeds: vec![address(0)],
            fleet_size: nodes as u32,
        };
        let node = |index: usize| {
            SimulatedNode::new(&config(index), index as u64 + 1, 0.0).expect("a node")
        };
        Cluster {
            nodes: (0..nodes).map(node).collect(),
            now: 0.0,
            in_flight: Vec::new(),
            sent: Vec::new(),
            banned: vec![Vec::new(); nodes],
        }
    }

    /// Advances the clock by `seconds`, delivering datagrams and reporting the failing servers.
    fn run(&mut self, seconds: f64, failing: &[FailingServer]) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            for InFlight { receiver, datagram } in std::mem::take(&mut self.in_flight) {
                self.nodes[receiver].receive(self.now, &datagram);
            }
            for index in 0..self.nodes.len() {
                let banned = self.nodes[index].tick(self.now, LISTED, failing);
                self.banned[index].extend(banned);
                while let Some(OutgoingDatagram {
                    to: receiver,
                    bytes: datagram,
                }) = self.nodes[index].next_datagram()
                {
                    self.sent.push(datagram.clone());
                    self.in_flight.push(InFlight {
                        receiver: usize::from(receiver.port()) - BASE_PORT,
                        datagram,
                    });
                }
            }
        }
    }

    /// Classifies the datagrams sent since the last sample.
    fn sample(&mut self) -> Sample {
        let secret = fleet_secret().expect("a key");
        let mut sample = Sample::default();
        for datagram in std::mem::take(&mut self.sent) {
            let classified = classify(&secret, &datagram).expect("a datagram of the fleet");
            assert_eq!(
                classified.base_bytes + classified.entry_bytes,
                datagram.len()
            );
            sample.add(classified);
        }
        sample
    }
}

#[test]
fn datagrams_are_classified_by_kind() {
    let mut cluster = Cluster::new(4);
    cluster.run(10.0, &[]);
    assert!(cluster.nodes.iter().all(|node| node.member_count() == 3));
    let quiet = cluster.sample();
    assert!(quiet.messages(DatagramKind::Membership) > 0);
    assert!(quiet.messages(DatagramKind::AntiEntropy) > 0);
    assert_eq!(quiet.bytes(DatagramKind::Entries), 0);
    let now = cluster.now;
    assert!(cluster.nodes[1].ban(now, "server-7", 30.0));
    cluster.run(2.0, &[]);
    assert!(
        cluster
            .banned
            .iter()
            .all(|banned| banned.iter().any(|server| server == "server-7")),
        "{:?}",
        cluster.banned
    );
    let after = cluster.sample();
    assert!(after.bytes(DatagramKind::Entries) > 0);
    assert_eq!(after.messages(DatagramKind::Application), 0);
}

#[test]
fn failing_server_is_reported_until_it_is_ejected() {
    let mut cluster = Cluster::new(5);
    cluster.run(8.0, &[]);
    cluster.sample();
    let failing = [FailingServer {
        name: "server-1".to_owned(),
        started_ms: 5,
    }];
    cluster.run(6.0, &failing);
    let reported = cluster.sample();
    assert!(reported.bytes(DatagramKind::Entries) > 0);
    // Three reports eject the server, and further attempts do not renew the reports.
    cluster.run(6.0, &failing);
    let after_ejection = cluster.sample();
    assert!(
        after_ejection.bytes(DatagramKind::Entries) < 4 * reported.bytes(DatagramKind::Entries),
        "{reported:?} {after_ejection:?}"
    );
}

#[test]
fn foreign_datagrams_are_not_classified() {
    let secret = fleet_secret().expect("a key");
    for datagram in [
        &b""[..],
        b"rF",
        b"something else that is long enough to have a header",
    ] {
        assert_eq!(classify(&secret, datagram), None);
    }
}
