//! The settings of routes.

use crate::common::{CLASS, SERVER};
use crate::{assert_error, errors, file_with_service, NO_ERRORS, ROUTE};

#[test]
fn invalid_route_settings_are_rejected() {
    for (settings, expected) in [
        (
            "listener = \"x\"\n",
            "f.toml:14: unknown listener `x`",
        ),
        (
            "assign = \"x\"\n",
            "f.toml:14: service `a` has no class `x`",
        ),
        (
            "methods = [\"BREW\"]\n",
            "f.toml:14: unsupported method `BREW`: use GET, POST, PUT, PATCH, DELETE",
        ),
        (
            "methods = [\"GET\", \"GET\"]\n",
            "f.toml:14: duplicate method `GET`",
        ),
        (
            "host = \"a:80\"\n",
            "f.toml:15: `a:80`: a host pattern is a name, an address, or `*.` before a name",
        ),
        (
            "path = \"/../x\"\n",
            "f.toml:15: `/../x`: a path prefix begins with `/` and has no dot segments, empty segments or needless escapes",
        ),
    ] {
        assert_error(&(file_with_service("") + settings), expected);
    }
}

#[test]
fn ambiguous_routes_are_rejected() {
    assert_error(
        &(file_with_service("") + ROUTE),
        "f.toml:15: ambiguous route: overlaps with the equally specific route at line 14",
    );
    let other_service = format!("[[service]]\nname = \"b\"\n{CLASS}{SERVER}{ROUTE}");
    let two_services = file_with_service("") + &other_service;
    assert_error(
        &format!("{two_services}path = \"/\"\n"),
        "f.toml:25: ambiguous route: overlaps with the equally specific route at line 14",
    );
    // Routes that differ only in their methods are not ambiguous.
    assert_eq!(
        errors(&format!("{two_services}methods = [\"GET\"]\n")),
        NO_ERRORS
    );
}
