//! The settings of services and their classes.

use crate::common::{CLASS, LISTENER, SERVER};
use crate::{assert_error, errors, file_with_service, NO_ERRORS, ROUTE};

#[test]
fn service_without_a_required_part_is_rejected() {
    assert_eq!(errors(&file_with_service("")), NO_ERRORS);
    for (part, expected) in [
        (
            SERVER,
            "f.toml:4: service `a` has no servers: add [[service.server]], discovery or registry",
        ),
        (
            CLASS,
            "f.toml:4: service `a` has no classes: add [[service.class]]",
        ),
        (
            ROUTE,
            "f.toml:4: service `a` has no routes: add [[service.route]]",
        ),
    ] {
        assert_error(&file_with_service("").replace(part, ""), expected);
    }
}

#[test]
fn invalid_service_settings_are_rejected() {
    assert_error(
        &file_with_service("").replace("name = \"a\"", "name = \"a b\""),
        "f.toml:4: invalid service name `a b`: use letters, digits, `-`, `_` and `.`",
    );
    for (settings, expected) in [
        (
            "colour = 1\n",
            "f.toml:6: unknown field `colour`, expected one of `name`, `state`, `server`, `discovery`, `registry`, `limits`, `graphql`, `tries`, `cold`, `class`, `member`, `route`",
        ),
        (
            "state = \"off\"\n",
            "f.toml:6: unknown variant `off`, expected `serving` or `draining`",
        ),
        (
            "discovery = \"127.0.0.1:8500\"\n",
            "f.toml:4: service `a` has several sources of servers: keep only one of [[service.server]], discovery and registry",
        ),
        (
            "tries = { most = 0 }\n",
            "f.toml:4: service `a`: tries.most is 0, not between 1 and 16",
        ),
        (
            "tries = { retry_share = 1.5 }\n",
            "f.toml:6: `1.5` is not between 0 and 1",
        ),
        (
            "tries = { connect = \"0s\" }\n",
            "f.toml:4: service `a`: tries.connect and tries.idle must be more than 0",
        ),
        (
            "cold = { factor = 0 }\n",
            "f.toml:6: `0` is not between 0.000001 and 1000000",
        ),
    ] {
        assert_error(&file_with_service(settings), expected);
    }
}

#[test]
fn invalid_limits_are_rejected() {
    for (settings, expected) in [
        (
            "limits = { rate = 300 }\n",
            "f.toml:6: `300` is a number, not a string: write a rate with /s or /m, such as \"300/s\"",
        ),
        (
            "limits = { rate = \"0/s\" }\n",
            "f.toml:6: service `a`: rate must be more than 0/s, and burst at least 1",
        ),
        (
            "limits = { open = 5, open_reserved = 6 }\n",
            "f.toml:6: service `a`: open requests: 6 are reserved, but the maximum is 5",
        ),
        (
            "limits = { open = 0 }\n",
            "f.toml:6: service `a`: open requests: a maximum of 0 rejects every request; to stop the service, set state = \"draining\"",
        ),
        (
            "limits = { weight = 0 }\n",
            "f.toml:6: service `a`: weight is 0, not between 1 and 1000",
        ),
    ] {
        assert_error(&file_with_service(settings), expected);
    }
    let reservation = file_with_service("limits = { open_reserved = 90 }\n");
    assert_error(
        &format!("[process]\ndescriptors = 100\n{reservation}"),
        "f.toml:1: the reservations exceed the resources of the process: open requests: 90 units are reserved, but the total is 32",
    );
    let member = "[[service.member]]\nname = \"m\"\nquota = \"0/s\"\n";
    assert_error(
        &(file_with_service("") + member),
        "f.toml:15: member `m`: quota must be more than 0/s",
    );
}

#[test]
fn invalid_class_values_are_rejected() {
    for (valid, invalid, expected) in [
        (
            "\"100ms\"",
            "100",
            "f.toml:9: `100` is a number, not a string: write a time in ms, s or m, such as \"250ms\"",
        ),
        (
            "\"100ms\"",
            "\"100\"",
            "f.toml:9: `100` has no unit: write a time in ms, s or m, such as \"250ms\"",
        ),
        (
            "\"100ms\"",
            "\"2s\"",
            "f.toml:6: class `c`: aim (2s) exceeds the deadline (1s)",
        ),
        (
            "\"100ms\"",
            "\"0s\"",
            "f.toml:6: class `c`: aim must be more than 0",
        ),
        (
            "\"1s\"",
            "\"2m\"",
            "f.toml:6: class `c`: deadline is 120s, but at most 60s is allowed",
        ),
        (
            "\"safe\"",
            "\"maybe\"",
            "f.toml:8: unknown variant `maybe`, expected `safe` or `unsafe`",
        ),
    ] {
        assert_error(&file_with_service("").replace(valid, invalid), expected);
    }
}

#[test]
fn server_listed_by_too_many_services_is_rejected() {
    const SERVICES: usize = 9;
    let services: String = (0..SERVICES)
        .map(|index| {
            format!("[[service]]\nname = \"s{index}\"\n{CLASS}{SERVER}{ROUTE}host = \"h{index}\"\n")
        })
        .collect();
    assert_error(
        &(LISTENER.to_owned() + &services),
        "f.toml:107: 127.0.0.1:9000 is listed by more than 8 services",
    );
}
