//! Ballots and tokens that outlast their leases, and the fence that compares tokens.

use crate::keeper_group::{lease_name, KeeperGroup, SECOND};
use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::holder::{Config, Lease};
use reelfall_lease::message::Promise;
use reelfall_lease::token::{Claim, Fence, FenceError, LeaseName};

#[test]
fn ballot_floor_applies_to_retained_leases() {
    let mut state = DurableState::default();
    state.apply(&Record::Promised(
        lease_name(),
        Promise {
            ballot: 40,
            client: None,
            duration: SECOND,
        },
    ));
    state.apply(&Record::BallotFloor(50));
    assert_eq!(state.promised_ballot(&lease_name()), 50);
    state.apply(&Record::Promised(
        lease_name(),
        Promise {
            ballot: 60,
            client: None,
            duration: SECOND,
        },
    ));
    assert_eq!(state.promised_ballot(&lease_name()), 60);
}

#[test]
fn token_exceeds_those_of_an_evicted_lease() {
    let mut group = KeeperGroup::new(3, 1);
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    let token = group.token(0);
    group.clients[0].release(group.now);
    group.settle();
    // Twice the time after which unused leases are evicted.
    group.now += 2 * 86_400 * SECOND;
    group.run(SECOND);
    assert!(group
        .keepers
        .iter()
        .all(|keeper| keeper.keeper.durable_state().promises.is_empty()));
    group.clients[0] = Lease::new(lease_name(), Config::new(3, 2 * SECOND));
    group.clients[0].acquire(group.now);
    group.run(SECOND);
    assert!(group.token(0) > token);
}

#[test]
fn fence_admits_the_latest_token_of_a_bounded_number_of_leases() {
    let claim = |lease: &str, token| Claim {
        lease: LeaseName::try_from(lease.to_owned()).unwrap(),
        token,
    };
    let mut fence = Fence::new(2);
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert_eq!(fence.admit(&claim("a", 3)), Ok(()));
    assert!(matches!(
        fence.admit(&claim("a", 2)),
        Err(FenceError::StaleToken {
            presented: 2,
            highest: 3,
            ..
        })
    ));
    assert_eq!(fence.admit(&claim("b", 1)), Ok(()));
    assert!(matches!(
        fence.admit(&claim("c", 1)),
        Err(FenceError::AtCapacity(_))
    ));
    let names = [
        ("", false),
        ("a b", false),
        ("probe/s-1:80", true),
        ("\u{e4}", false),
    ];
    for (name, is_valid) in names {
        assert_eq!(
            LeaseName::try_from(name.to_owned()).is_ok(),
            is_valid,
            "{name}"
        );
    }
    assert!(LeaseName::try_from("x".repeat(65)).is_err());
}
