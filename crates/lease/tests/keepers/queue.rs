//! The queue of waiting clients: the order in which they acquire a lease, and who is notified of its release.

use crate::keeper_group::{lease_name, KeeperGroup, SECOND};
use reelfall_lease::holder::{Config, Lease};
use reelfall_lease::keeper::{Destination, OutgoingMessage};
use reelfall_lease::message::{ClientId, Message, RejectionReason, Request, Response};

const CLIENTS: usize = 301;

#[test]
fn each_release_notifies_only_the_first_of_300_waiting_clients() {
    let mut group = KeeperGroup::new(3, CLIENTS);
    for client in 0..CLIENTS {
        group.clients[client].acquire(group.now);
        // The clients begin to wait in the order of their indices, at distinct times.
        group.run(300_000);
    }
    group.run(SECOND);
    let mut order = Vec::new();
    for _ in 0..CLIENTS {
        let holder = group.holder().unwrap();
        order.push(holder);
        let notifications_before = group.notifications;
        group.clients[holder].release(group.now);
        group.run(20_000);
        assert!(
            group.notifications - notifications_before <= 3,
            "three keepers sent {} notifications of one release",
            group.notifications - notifications_before
        );
        if order.len() < CLIENTS {
            assert!(
                group.holder().is_some(),
                "no client holds the lease after {order:?}"
            );
        }
    }
    let sorted: Vec<usize> = (0..CLIENTS).collect();
    assert_eq!(
        order, sorted,
        "clients acquire the lease in the order of their waits"
    );
}

fn prepare(ballot: u64) -> Request {
    Request::Prepare {
        lease: lease_name(),
        round: ballot,
        ballot,
        duration: SECOND,
        waited: 0,
    }
}

/// Passes a request to a keeper, and returns the keeper's response.
fn respond(group: &mut KeeperGroup, keeper: usize, client: u64, request: Request) -> Response {
    let client = ClientId {
        name: client.to_string(),
        instance_id: client,
    };
    group.keepers[keeper]
        .keeper
        .handle_request(group.now, &client, request);
    let response = group.keepers[keeper].keeper.take_effects().messages.pop();
    match response {
        Some(OutgoingMessage {
            destination: Destination::Client(_),
            message: Message::Response(response),
        }) => response,
        other => panic!("{other:?}"),
    }
}

#[test]
fn free_lease_is_reserved_for_the_first_waiting_client_for_half_a_second() {
    let mut group = KeeperGroup::new(3, 0);
    assert!(matches!(
        respond(&mut group, 0, 1, prepare(1)),
        Response::Promised { .. }
    ));
    let grant = Request::Grant {
        lease: lease_name(),
        round: 2,
        token: 1,
        duration: SECOND,
        known_positions: Vec::new(),
    };
    assert!(matches!(
        respond(&mut group, 0, 1, grant),
        Response::Granted { .. }
    ));
    assert!(matches!(
        respond(&mut group, 0, 2, prepare(2)),
        Response::Rejected {
            reason: RejectionReason::Held { .. },
            ..
        }
    ));
    group.now += SECOND;
    // The grant has expired. Another client requests the lease before the one that waits for it.
    assert!(matches!(
        respond(&mut group, 0, 3, prepare(3)),
        Response::Rejected {
            reason: RejectionReason::NotFirstInQueue,
            promised: 1,
            ..
        }
    ));
    group.now += SECOND / 4;
    assert!(matches!(
        respond(&mut group, 0, 3, prepare(3)),
        Response::Rejected {
            reason: RejectionReason::NotFirstInQueue,
            ..
        }
    ));
    group.now += SECOND / 4;
    assert!(matches!(
        respond(&mut group, 0, 3, prepare(3)),
        Response::Promised { .. }
    ));
}

#[test]
fn client_notified_during_an_attempt_retries_at_once() {
    for is_notified in [false, true] {
        let mut lease = Lease::new(lease_name(), Config::new(3, 4 * SECOND));
        lease.acquire(0);
        lease.tick(0, 0);
        if is_notified {
            lease.handle_response(
                1,
                0,
                Response::Available {
                    lease: lease_name(),
                },
                0,
            );
        }
        for keeper in 0..3 {
            let reason = RejectionReason::Held {
                remaining: 3 * SECOND,
            };
            lease.handle_response(
                2,
                keeper,
                Response::Rejected {
                    lease: lease_name(),
                    round: 1,
                    reason,
                    promised: 1,
                },
                u32::MAX,
            );
        }
        assert_eq!(lease.deadline().unwrap() < SECOND / 10, is_notified);
    }
}
