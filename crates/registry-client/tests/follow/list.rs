//! When the list counts as complete, and how it follows changes.

use crate::fake_registry::{payload, WatchDelivery, OWNER_SESSION};
use crate::fixture::{Fixture, ListedServer};
use crate::PATH;
use reelfall_registry_client::follow::{FollowerConfig, Report};
use reelfall_registry_client::roster::Change;
use reelfall_registry_client::session::{Event, TokenRequest};
use reelfall_registry_client::wire::{Op, OperationError, Response, WatchEvent, WatchEventKind};

#[test]
fn list_is_complete_once_every_entry_has_been_read() {
    let mut fixture = Fixture::disconnected(true, FollowerConfig::default(), 0.0);
    for port in 1..=200 {
        fixture.registry.put_server(&format!("s{port}"), port);
    }
    fixture.connect(0.0);
    // 100 steps are too few to read all entries.
    for _ in 0..100 {
        fixture.receive_requests();
        fixture.registry.execute_request();
        fixture.deliver_event(0.0);
    }
    let sizes = fixture.follower.sizes();
    assert!(
        !fixture.follower.has_list() && sizes.pending_requests <= 65,
        "{sizes:?}"
    );
    fixture.settle(0.0);
    assert!(fixture.follower.has_list() && fixture.follower.is_settled());
    assert_eq!(fixture.listed_servers().len(), 200);
}

#[test]
fn removal_takes_effect_before_pending_reads_are_answered() {
    let mut fixture = Fixture::connected(FollowerConfig::default());
    fixture.registry.put_server("a", 1);
    fixture.settle(1.0);
    fixture.follower.take_changes();
    // The entry is removed while a read of it is in flight; the response is older than the event of the removal.
    fixture.registry.put_server("a", 2);
    fixture.deliver_event(1.0).unwrap();
    fixture.receive_requests();
    fixture.registry.execute_request();
    let read_response = fixture.registry.events.pop_front().unwrap();
    fixture.registry.remove("a", WatchDelivery::Delivered);
    fixture.deliver_event(1.0).unwrap();
    assert_eq!(
        fixture.follower.take_changes(),
        [Change::Removed("a".to_owned())]
    );
    fixture.follower.handle_event(1.0, &read_response);
    assert!(
        fixture.listed_servers().is_empty(),
        "the response to an older read listed the removed server again"
    );
    assert_eq!(fixture.follower.take_changes(), []);
}

#[test]
fn short_lived_entries_do_not_accumulate_while_responses_are_slow() {
    let config = FollowerConfig {
        max_parallel_reads: 1,
        ..FollowerConfig::default()
    };
    let mut fixture = Fixture::connected(config);
    // One read gets no response; the others are queued while their entries are created and removed.
    for round in 0..20_000 {
        let name = format!("s{}", round % 7);
        fixture.registry.put_server(&name, 1 + round % 7);
        fixture.registry.remove(&name, WatchDelivery::Delivered);
        while fixture.deliver_event(1.0).is_some() {}
        fixture.receive_requests();
        let waiting_reads = fixture.follower.sizes().waiting_reads;
        assert!(waiting_reads <= 80, "{waiting_reads} reads are queued");
    }
    fixture.registry.put_server("s1", 9);
    fixture.settle(2.0);
    assert_eq!(
        fixture.listed_servers(),
        [ListedServer::new("s1", 9)].into()
    );
}

/// Answers every request like a registry in which the followed path does not exist.
fn answer_without_path(fixture: &mut Fixture) {
    fixture.receive_requests();
    while let Some(TokenRequest { token, op }) = fixture.registry.requests.pop_front() {
        let response = match op {
            Op::AddWatch { .. } if !fixture.registry.has_persistent_watches => {
                Err(OperationError::Unimplemented)
            }
            Op::GetChildren { .. } | Op::Exists { .. } => Err(OperationError::NoNode),
            _ => Ok(Response::Done),
        };
        fixture
            .follower
            .handle_event(0.0, &Event::Response(token, response));
        fixture.receive_requests();
    }
}

#[test]
fn missing_path_is_followed_once_it_is_created() {
    for has_persistent_watches in [true, false] {
        let mut fixture =
            Fixture::disconnected(has_persistent_watches, FollowerConfig::default(), 0.0);
        fixture.connect(0.0);
        answer_without_path(&mut fixture);
        assert_eq!(fixture.follower.next_report(), Some(Report::PathMissing));
        assert!(
            fixture.follower.has_list(),
            "the list of a missing path counts as unknown, not as empty"
        );
        fixture.registry.has_recursive_watch = has_persistent_watches;
        let path_created = Event::Watch(WatchEvent {
            kind: WatchEventKind::Created,
            path: PATH.to_owned(),
        });
        fixture.follower.handle_event(1.0, &path_created);
        let delivery = if has_persistent_watches {
            WatchDelivery::Delivered
        } else {
            WatchDelivery::Lost
        };
        fixture
            .registry
            .put("a", payload(1), OWNER_SESSION, delivery);
        fixture.settle(1.0);
        assert_eq!(fixture.listed_servers().len(), 1);
    }
}
