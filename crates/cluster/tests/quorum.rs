//! Tests which servers are ejected if more fail than can be ejected.

use proptest::prelude::*;
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::{select_ejected, Quorum, Votes};

/// Number of servers in the endpoint list.
const LISTED: usize = 20;
/// Number of these servers that nodes report as faulty.
const REPORTED: usize = 8;
/// Maximum number of ejected servers of a list of [`LISTED`].
const MAX_EJECTED: usize = 4;

fn reported_servers() -> Vec<ServerInstance> {
    (0..REPORTED)
        .map(|index| ServerInstance {
            name: format!("s{index:02}"),
            started_ms: 0,
        })
        .collect()
}

/// The names of the ejected servers. `failed_votes` contains the number of nodes that report a fault of each server.
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
    /// Guards against ejected servers that change whenever the numbers of reports do: as long as a server has enough
    /// reports, it stays ejected.
    #[test]
    fn servers_with_many_reports_stay_ejected(counts in prop::collection::vec(prop::collection::vec(6usize..40, REPORTED), 2..20)) {
        let servers = reported_servers();
        let first = ejected_names(&servers, &counts[0]);
        prop_assert_eq!(first.len(), MAX_EJECTED);
        for failed_votes in &counts {
            prop_assert_eq!(&ejected_names(&servers, failed_votes), &first);
        }
    }

    /// Guards against servers with few reports that are ejected in place of servers with many.
    #[test]
    fn servers_with_more_reports_are_ejected_first(few_votes in 3usize..6, many_votes in prop::collection::vec(6usize..40, 4)) {
        let servers = reported_servers();
        let mut failed_votes = vec![few_votes; 4];
        failed_votes.extend(many_votes);
        prop_assert_eq!(ejected_names(&servers, &failed_votes), ["s04", "s05", "s06", "s07"]);
    }
}
