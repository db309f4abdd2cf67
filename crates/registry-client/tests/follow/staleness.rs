//! The list after contact with the registry is lost.

use crate::fixture::Fixture;
use reelfall_registry_client::follow::{FollowerConfig, Report, StalePolicy};
use reelfall_registry_client::session::Event;

#[test]
fn list_becomes_stale_without_contact_to_the_registry() {
    for stale_policy in [StalePolicy::KeepServers, StalePolicy::RejectRequests] {
        let mut fixture = Fixture::connected(FollowerConfig {
            stale_policy,
            stale_after: 20.0,
            ..FollowerConfig::default()
        });
        fixture.registry.put_server("a", 1);
        fixture.settle(1.0);
        fixture.drop_connection(5.0);
        assert_eq!(
            fixture.listed_servers().len(),
            1,
            "a lost connection removes no server"
        );
        // The end of the follower's session removes no server either.
        fixture.follower.handle_event(6.0, &Event::Expired);
        fixture.follower.tick(20.9);
        assert!(!fixture.follower.rejects_requests() && fixture.follower.age(20.0) == 19.0);
        assert_eq!(fixture.follower.deadline(), 21.0);
        fixture.follower.tick(21.0);
        assert_eq!(
            fixture.follower.rejects_requests(),
            stale_policy == StalePolicy::RejectRequests
        );
        assert_eq!(fixture.follower.next_report(), Some(Report::Stale(20)));
        assert_eq!(fixture.listed_servers().len(), 1);
        fixture.connect(30.0);
        fixture.settle(30.0);
        assert_eq!(
            (
                fixture.follower.rejects_requests(),
                fixture.follower.next_report()
            ),
            (false, Some(Report::UpToDate))
        );
    }
}
