//! The maximum numbers of items in a settings file.

mod common;

use common::{class, listener, member, route, service, times, whole_service, CLASS, LISTENER};
use reelfall_balancer::interface::{ClassId, TenantId};
use reelfall_config::check::{
    check, MAX_CLASSES, MAX_LISTENERS, MAX_ROUTES, MAX_SERVICES, MAX_TENANTS,
};
use reelfall_config::reader;
use reelfall_routing::table::ListenerId;

/// The number of services of the largest deployment.
const EXPECTED_SERVICES: usize = 2_600;
/// The number of routes of the largest deployment.
const EXPECTED_ROUTES: usize = 74_000;

fn errors(text: &str) -> Vec<String> {
    let plan = reader::parse_toml("f.toml", text).and_then(check);
    plan.err()
        .map(|errors| errors.0.iter().map(ToString::to_string).collect())
        .unwrap_or_default()
}

/// Asserts that a file of `max` items is valid and that one of `max + 1` items has exactly the error `expected`.
#[track_caller]
fn assert_bounded(max: usize, make_file: impl Fn(usize) -> String, expected: &str) {
    assert_eq!(errors(&make_file(max)), Vec::<String>::new());
    assert_eq!(errors(&make_file(max + 1)), [expected]);
}

#[test]
fn service_count_is_bounded() {
    const { assert!(MAX_SERVICES >= EXPECTED_SERVICES) };
    let make_file = |count| LISTENER.to_owned() + &times(count, whole_service);
    assert_bounded(
        MAX_SERVICES,
        make_file,
        "f.toml: too many services: 4097, but at most 4096 are allowed",
    );
}

#[test]
fn listener_count_is_bounded() {
    let make_file = |count| times(count, listener) + &whole_service(0);
    assert_bounded(
        MAX_LISTENERS,
        make_file,
        "f.toml: too many listeners: 257, but at most 256 are allowed",
    );
}

#[test]
fn class_count_of_a_service_is_bounded() {
    let make_file =
        |count| LISTENER.to_owned() + &service("a") + &times(count, class) + &route(0, "");
    assert_bounded(
        MAX_CLASSES,
        make_file,
        "f.toml:4: service `a` has 257 classes, but at most 256 are allowed",
    );
}

#[test]
fn tenant_count_of_a_service_is_bounded() {
    let head = LISTENER.to_owned() + &service("a") + CLASS + &route(0, "");
    let make_file = |count| head.clone() + &times(count, member);
    assert_bounded(
        MAX_TENANTS,
        make_file,
        "f.toml:4: service `a` has 65536 members, but at most 65535 are allowed",
    );
}

#[test]
fn ids_represent_every_permitted_index() {
    assert!(ListenerId::try_from(MAX_LISTENERS).is_ok());
    assert!(ClassId::try_from(MAX_CLASSES).is_ok());
    assert!(TenantId::try_from(MAX_TENANTS).is_ok());
    const { assert!(MAX_ROUTES >= EXPECTED_ROUTES) };
}
