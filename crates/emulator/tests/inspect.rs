//! Statistics of the contents of a cluster's datagrams.

use reelfall_emulator::cluster::{default_config, secret, Cluster};
use reelfall_emulator::inspect::{DatagramStats, Inspector};

/// A cluster whose nodes have discovered each other, and an inspector of all datagrams since the start.
fn converged_cluster(nodes: usize) -> Cluster {
    let mut cluster = Cluster::new(nodes, 1, |_| default_config());
    cluster.inspector = Some(Inspector::new(secret()));
    cluster.run_until(60.0, Cluster::is_converged);
    cluster
}

fn stats(cluster: &Cluster) -> DatagramStats {
    cluster
        .inspector
        .as_ref()
        .expect("the cluster has an inspector")
        .stats
}

#[test]
fn all_datagrams_are_counted_with_their_bytes() {
    let cluster = converged_cluster(8);
    let stats = stats(&cluster);
    assert_eq!(
        (stats.datagrams, stats.bytes),
        (cluster.datagrams_sent, cluster.bytes_sent)
    );
    assert!(stats.swim_bytes > 0 && stats.swim_bytes < stats.bytes);
}

#[test]
fn join_updates_end_and_a_ban_is_counted_as_entries() {
    let mut cluster = converged_cluster(8);
    let joining = stats(&cluster);
    let joined_at = cluster.now;
    cluster.run(60.0);
    let before = stats(&cluster);
    cluster.run(20.0);
    let at_rest = stats(&cluster).since(&before);
    assert_eq!(at_rest.entries, 0);
    let mean_size = |stats: DatagramStats| stats.swim_bytes as f64 / stats.datagrams as f64;
    assert!(
        mean_size(at_rest) < mean_size(joining),
        "{at_rest:?} {joining:?} after {joined_at} s"
    );
    cluster.with_node(0, |fleet, now| fleet.ban(now, "server-1", "ada", None));
    let before = stats(&cluster);
    cluster.run(5.0);
    assert!(stats(&cluster).since(&before).entries > 0);
}

#[test]
fn only_the_size_of_a_datagram_of_another_key_is_counted() {
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
