//! How many of everything a file may have.

mod common;

use common::{class, listener, member, route, service, times, whole_service, CLASS, LISTENER};
use reelfall_balancer::interface::{ClassId, TenantId};
use reelfall_config::check::{
    check, MAX_CLASSES, MAX_LISTENERS, MAX_ROUTES, MAX_SERVICES, MAX_TENANTS,
};
use reelfall_config::reader;
use reelfall_routing::table::ListenerId;

fn faults(text: &str) -> Vec<String> {
    let read = reader::toml("f.toml", text).and_then(check);
    read.err()
        .map(|f| f.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

/// As many as the bound are taken, and one more is refused.
#[track_caller]
fn assert_bounded(most: usize, file: impl Fn(usize) -> String, refusal: &str) {
    assert_eq!(faults(&file(most)), Vec::<String>::new());
    assert_eq!(faults(&file(most + 1)), [refusal]);
}

#[test]
fn services() {
    const { assert!(MAX_SERVICES >= 2_600) };
    let file = |n| LISTENER.to_owned() + &times(n, whole_service);
    assert_bounded(MAX_SERVICES, file, "f.toml: 4097 services, 4096 at most");
}

#[test]
fn listeners() {
    let file = |n| times(n, listener) + &whole_service(0);
    assert_bounded(MAX_LISTENERS, file, "f.toml: 257 listeners, 256 at most");
}

#[test]
fn classes_of_a_service() {
    let file = |n| LISTENER.to_owned() + &service("a") + &times(n, class) + &route(0, "");
    assert_bounded(
        MAX_CLASSES,
        file,
        "f.toml:4: service `a` has 257 classes, 256 at most",
    );
}

#[test]
fn members_of_a_service() {
    let file = |n| LISTENER.to_owned() + &service("a") + CLASS + &route(0, "") + &times(n, member);
    assert_bounded(
        MAX_TENANTS,
        file,
        "f.toml:4: service `a` has 65536 members, 65535 at most",
    );
}

#[test]
fn the_numbers_of_things_hold_as_many_as_there_may_be() {
    assert!(ListenerId::try_from(MAX_LISTENERS).is_ok());
    assert!(ClassId::try_from(MAX_CLASSES).is_ok());
    assert!(TenantId::try_from(MAX_TENANTS).is_ok());
    const { assert!(MAX_ROUTES >= 74_000) };
}
