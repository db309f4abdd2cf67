//! Management requests: parsing, formatting, and rejection of invalid ones.

use proptest::prelude::*;
use reelfall_admin::request::{FleetRequest, HttpTarget, ManagementRequest, RequestError};

/// The maximum length of a server's name, in bytes.
const MAX_NAME_LEN: usize = 512;

proptest! {
    #[test]
    fn only_valid_requests_are_parsed(text in ".{0,200}", method in "[A-Z]{1,7}") {
        for request in [ManagementRequest::Disable(text.clone()), ManagementRequest::Enable(text.clone())] {
            let HttpTarget { method, path } = request.to_http();
            let parsed = ManagementRequest::parse(method, &path);
            prop_assert!(parsed == Ok(request) || text.is_empty() || text.len() > MAX_NAME_LEN);
        }
        let parsed = ManagementRequest::parse(&method, &text);
        if let Ok(ManagementRequest::Disable(name) | ManagementRequest::Enable(name)) = parsed {
            prop_assert!(method == "POST" && !name.is_empty());
        }
    }
}

#[test]
fn fleet_requests_round_trip_and_invalid_ones_are_rejected() {
    let ban = |seconds| FleetRequest::Ban {
        server: "a/b c".to_owned(),
        seconds,
        by: "ada & eze".to_owned(),
    };
    let lift = FleetRequest::Lift {
        server: "s".to_owned(),
        by: "obi".to_owned(),
    };
    let requests = [
        FleetRequest::Members,
        FleetRequest::Verdicts,
        FleetRequest::Explain("a/b".to_owned()),
        ban(None),
        ban(Some(60)),
        lift,
    ];
    for request in requests.map(ManagementRequest::Fleet) {
        let HttpTarget { method, path } = request.to_http();
        assert_eq!(ManagementRequest::parse(method, &path), Ok(request));
    }
    assert_eq!(
        ManagementRequest::parse("POST", "/-/fleet/servers/s/ban?for=ever"),
        Err(RequestError::InvalidDuration)
    );
    assert_eq!(
        ManagementRequest::parse("GET", "/-/fleet/servers/s/ban"),
        Err(RequestError::WrongMethod("POST"))
    );
    assert_eq!(
        ManagementRequest::parse("POST", "/-/fleet/servers/s/bann"),
        Err(RequestError::UnknownPath)
    );
    assert_eq!(
        ManagementRequest::parse("GET", "/-/fleet"),
        Err(RequestError::UnknownPath)
    );
}

#[test]
fn requests_are_parsed_and_invalid_ones_are_rejected() {
    assert_eq!(
        ManagementRequest::parse("GET", "/-/ready"),
        Ok(ManagementRequest::Ready)
    );
    assert_eq!(
        ManagementRequest::parse("GET", "/-/ready?x=1"),
        Ok(ManagementRequest::Ready)
    );
    assert_eq!(
        ManagementRequest::parse("POST", "/-/servers/s-5be2a07c/disable"),
        Ok(ManagementRequest::Disable("s-5be2a07c".to_owned()))
    );
    assert_eq!(
        ManagementRequest::parse("POST", "/-/servers/a%2Fb%20c/enable"),
        Ok(ManagementRequest::Enable("a/b c".to_owned()))
    );
    for (method, path, expected) in [
        ("POST", "/-/ready", RequestError::WrongMethod("GET")),
        ("GET", "/-/drain", RequestError::WrongMethod("POST")),
        (
            "GET",
            "/-/servers/a/disable",
            RequestError::WrongMethod("POST"),
        ),
        ("POST", "/-/servers//disable", RequestError::InvalidName),
        ("POST", "/-/servers/%ff/enable", RequestError::InvalidName),
        ("POST", "/-/servers/a/b/enable", RequestError::UnknownPath),
        ("POST", "/-/servers/a/ban", RequestError::UnknownPath),
        ("POST", "/drain", RequestError::UnknownPath),
        ("POST", "/-/drain/", RequestError::UnknownPath),
    ] {
        assert_eq!(
            ManagementRequest::parse(method, path),
            Err(expected),
            "{method} {path}"
        );
    }
    let long_name = format!("/-/servers/{}/disable", "x".repeat(600));
    assert_eq!(
        ManagementRequest::parse("POST", &long_name),
        Err(RequestError::InvalidName)
    );
}
