//! What datagrams of a fleet contain is told from the datagrams themselves.

use reelfall_emulator::cluster::{default_config, secret, Cluster};
use reelfall_emulator::inspect::{DatagramStats, Inspector};

/// A fleet whose nodes know each other, with an inspector from its beginning on.
fn gathered(nodes: usize) -> Cluster {
    let mut cluster = Cluster::new(nodes, 1, |_| default_config());
    cluster.inspector = Some(Inspector::new(secret()));
    cluster.run_until(60.0, Cluster::is_converged);
    cluster
}

fn seen(cluster: &Cluster) -> DatagramStats {
    cluster.inspector.as_ref().expect("it was put in").stats
}

#[test]
fn all_datagrams_are_counted_with_their_bytes() {
    let cluster = gathered(8);
    let seen = seen(&cluster);
    assert_eq!(
        (seen.datagrams, seen.bytes),
        (cluster.datagrams_sent, cluster.bytes_sent)
    );
    assert!(seen.swim_bytes > 0 && seen.swim_bytes < seen.bytes);
}

#[test]
fn news_of_joins_are_seen_to_end_and_a_ban_to_be_told() {
    let mut cluster = gathered(8);
    let joining = seen(&cluster);
    let joined = cluster.now;
    cluster.run(60.0);
    let before = seen(&cluster);
    cluster.run(20.0);
    let quiet = seen(&cluster).since(&before);
    assert_eq!(quiet.entries, 0);
    let each = |contents: DatagramStats| contents.swim_bytes as f64 / contents.datagrams as f64;
    assert!(
        each(quiet) < each(joining),
        "{quiet:?} {joining:?} after {joined} s"
    );
    cluster.with_node(0, |fleet, now| fleet.ban(now, "server-1", "ada", None));
    let before = seen(&cluster);
    cluster.run(5.0);
    assert!(seen(&cluster).since(&before).entries > 0);
}

#[test]
fn a_datagram_of_another_key_is_counted_by_its_length_alone() {
    let mut inspector = Inspector::new(secret());
    inspector.add(&[7; 100]);
    assert_eq!(
        inspector.stats,
        DatagramStats {
            datagrams: 1,
            bytes: 100,
            ..DatagramStats::default()
        }
    );
}
