//! Tests that datagrams are encoded as in wire version 2. `golden/datagrams.txt` was written by the code of commit
//! c58caac, and must not change unless the version does.

use reelfall_cluster::entry::{BanId, Entry, Finding, Key, Report, ServerInstance, Value, Version};
use reelfall_cluster::freshness::ClockEcho;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::{
    AntiEntropy, AppMessage, DatagramWriter, Digests, GossipDatagram, Header, MemberState,
    MemberUpdate, Secret, MEMBER_PARTITIONS,
};

const GOLDEN: &str = include_str!("golden/datagrams.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more of a key", "flags").unwrap()
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        number,
        tag: 0x1122_3344_5566_7788 + number,
    }
}

fn node(name: &str, number: u64) -> Node {
    Node {
        name: name.to_owned(),
        address: "127.0.0.1:7946".parse().unwrap(),
        incarnation: incarnation(number),
    }
}

fn digests() -> Digests {
    let mut digests = Digests {
        entries: Default::default(),
        members: [0; MEMBER_PARTITIONS],
    };
    digests
        .entries
        .iter_mut()
        .zip(1..)
        .for_each(|(digest, n)| *digest = n * 0x0101_0101);
    digests
        .members
        .iter_mut()
        .zip(1..)
        .for_each(|(digest, n)| *digest = n * 0x0203);
    digests
}

fn headers() -> Vec<(&'static str, Header)> {
    let plain = Header {
        from: node("n1", 1),
        to_tag: 0,
        sequence: 7,
        clock_us: 1_234_567,
        echo: None,
        requests_echo: false,
        newer_incarnation: None,
        swim: Vec::new(),
        anti_entropy: None,
        members: Vec::new(),
    };
    let update = |number, state| MemberUpdate {
        node: node("n3", number),
        swim_incarnation: 300,
        state,
    };
    let full = Header {
        from: Node {
            address: "[2001:db8::1]:7000".parse().unwrap(),
            ..node("n2", 300)
        },
        to_tag: 0xfeed_beef_0102_0304,
        sequence: 70_000,
        echo: Some(ClockEcho {
            clock_us: 99_000_000,
            elapsed_us: 1_500,
        }),
        requests_echo: true,
        newer_incarnation: Some(incarnation(9)),
        swim: vec![1, 2, 3, 250],
        anti_entropy: Some(AntiEntropy::Request(digests())),
        members: vec![
            update(1, MemberState::Alive),
            update(2, MemberState::Suspected),
            update(3, MemberState::Dead),
        ],
        ..plain.clone()
    };
    let response = Header {
        anti_entropy: Some(AntiEntropy::Response(digests())),
        ..plain.clone()
    };
    vec![("plain", plain), ("full", full), ("response", response)]
}

fn entries() -> Vec<Entry> {
    let findings = [
        Finding::Well,
        Finding::Tipped,
        Finding::Unreached,
        Finding::Slow,
        Finding::Silent,
        Finding::Failing,
        Finding::Unclear,
    ];
    let reports = findings.into_iter().zip(1..).map(|(finding, n)| {
        let server = ServerInstance {
            name: format!("s{n}"),
            started_ms: 1_700_000_000_000 + n,
        };
        let zone = if n % 2 == 0 {
            "ikeja".to_owned()
        } else {
            String::new()
        };
        let report = Report {
            finding,
            failures: 3,
            successes: 400,
            zone,
            faulty_servers: 2,
            listed_servers: 900,
        };
        (
            Key::Report {
                server,
                reporter: "n1".to_owned(),
            },
            Value::Report(report),
        )
    });
    let ban = || {
        let id = BanId {
            node: "n1".to_owned(),
            incarnation: incarnation(4),
            number: 17,
        };
        Key::Ban {
            server: "s9".to_owned(),
            id,
        }
    };
    let others = [
        (
            ban(),
            Value::Banned {
                operator: "ada".to_owned(),
            },
        ),
        (
            ban(),
            Value::BanLifted {
                operator: "obi".to_owned(),
            },
        ),
        (
            Key::Leaving {
                node: "n4".to_owned(),
                incarnation: incarnation(2),
            },
            Value::Leaving,
        ),
        (
            Key::ListIndex {
                list: "flags".to_owned(),
            },
            Value::ListIndex,
        ),
    ];
    let entry = |(n, (key, value)): (u64, (Key, Value))| Entry {
        key,
        version: Version {
            incarnation: incarnation(n),
            sequence: 500 * n,
        },
        value,
        ttl_ms: 60_000,
        age_us: 1_000 * n,
    };
    (1..).zip(reports.chain(others)).map(entry).collect()
}

#[test]
fn datagrams_are_encoded_and_decoded_as_in_wire_version_2() {
    let mut lines = Vec::new();
    for (name, header) in headers() {
        let datagram = DatagramWriter::new(&header).unwrap().seal(&secret());
        let opened = GossipDatagram::open(&secret(), &datagram);
        let entries = Vec::new();
        assert_eq!(opened, Ok(GossipDatagram { header, entries }));
        lines.push(format!("{name} {}", hex(&datagram)));
    }
    for entry in entries() {
        assert!(entry.is_valid(), "{entry:?}");
        let (_, header) = headers().remove(0);
        let mut writer = DatagramWriter::new(&header).unwrap();
        assert!(writer.add(&entry));
        let datagram = writer.seal(&secret());
        let opened = GossipDatagram::open(&secret(), &datagram);
        let entries = vec![entry];
        assert_eq!(opened, Ok(GossipDatagram { header, entries }));
        lines.push(format!("entry {}", hex(&datagram)));
    }
    let message = AppMessage {
        from: node("n1", 1),
        to_tag: 12,
        body: vec![9, 8, 7],
    };
    let datagram = message.seal(&secret()).unwrap();
    assert_eq!(AppMessage::open(&secret(), &datagram), Ok(message));
    lines.push(format!("application {}", hex(&datagram)));
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}
