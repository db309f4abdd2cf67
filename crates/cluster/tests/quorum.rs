//! Which servers are condemned where more fail than may be.

use proptest::prelude::*;
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::{condemned, Quorum, Votes};

const LISTED: usize = 20;

fn servers(n: usize) -> Vec<ServerInstance> {
    (0..n)
        .map(|n| ServerInstance {
            name: format!("s{n:02}"),
            since: 0,
        })
        .collect()
}

fn names(servers: &[ServerInstance], failed: &[usize]) -> Vec<String> {
    let votes = failed.iter().map(|failed| Votes {
        failed: *failed,
        ..Votes::default()
    });
    condemned(servers.iter().zip(votes), LISTED, &Quorum::default())
        .keys()
        .map(|s| s.name.clone())
        .collect()
}

proptest! {
    /// Reports come and go by the second; who is surely sick is held for it as long as it is, and does not take turns with others.
    #[test]
    fn servers_that_surely_fail_take_no_turns(counts in prop::collection::vec(prop::collection::vec(6usize..40, 8), 2..20)) {
        let servers = servers(8);
        let first = names(&servers, &counts[0]);
        prop_assert_eq!(first.len(), 4);
        for failed in &counts {
            prop_assert_eq!(&names(&servers, failed), &first);
        }
    }

    /// One that is hardly proven never takes the place of one that surely fails.
    #[test]
    fn the_better_proven_go_first(weak in 3usize..6, sure in prop::collection::vec(6usize..40, 4)) {
        let servers = servers(8);
        let mut failed = vec![weak; 4];
        failed.extend(sure);
        prop_assert_eq!(names(&servers, &failed), ["s04", "s05", "s06", "s07"]);
    }
}
