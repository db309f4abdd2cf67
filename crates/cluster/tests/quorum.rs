//! Which servers are ejected where more fail than can be ejected.

use proptest::prelude::*;
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::{select_ejected, Quorum, Votes};

/// Servers of the endpoint list.
const LISTED: usize = 20;
/// Servers of the list that are reported.
const REPORTED: usize = 8;
/// The maximum number of ejected servers of a list of [`LISTED`].
const MAX_EJECTED: usize = 4;

fn reported_servers() -> Vec<ServerInstance> {
    (0..REPORTED)
        .map(|index| ServerInstance {
            name: format!("s{index:02}"),
            started_ms: 0,
        })
        .collect()
}

/// The names of the ejected servers; `failed_votes` has the number of nodes that report a fault, for each server.
fn ejected_names(servers: &[ServerInstance], failed_votes: &[usize]) -> Vec<String> {
    let votes = failed_votes.iter().map(|failed| Votes {
        failed: *failed,
        ..Votes::default()
    });
    select_ejected(servers.iter().zip(votes), LISTED, &Quorum::default())
        .keys()
        .map(|server| server.name.clone())
        .collect()
}

proptest! {
    /// Reports vary by the second; a server with enough of them stays ejected and does not alternate with others.
    #[test]
    fn well_proven_servers_stay_ejected(counts in prop::collection::vec(prop::collection::vec(6usize..40, REPORTED), 2..20)) {
        let servers = reported_servers();
        let first = ejected_names(&servers, &counts[0]);
        prop_assert_eq!(first.len(), MAX_EJECTED);
        for failed_votes in &counts {
            prop_assert_eq!(&ejected_names(&servers, failed_votes), &first);
        }
    }

    /// A server with few reports never takes the place of one with many.
    #[test]
    fn better_proven_servers_are_ejected_first(few_votes in 3usize..6, many_votes in prop::collection::vec(6usize..40, 4)) {
        let servers = reported_servers();
        let mut failed_votes = vec![few_votes; 4];
        failed_votes.extend(many_votes);
        prop_assert_eq!(ejected_names(&servers, &failed_votes), ["s04", "s05", "s06", "s07"]);
    }
}
