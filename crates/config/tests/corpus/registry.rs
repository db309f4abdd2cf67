//! The settings of registries, and of services that follow them.

use crate::common::SERVER;
use crate::{assert_error, errors, file_with_service, NO_ERRORS};

const MEMBERS: &str = "members = [\"127.0.0.1:2181\"]";
const ENTRY: &str = "[registry.entry]\npath = \"/nodes/n1\"\nname = \"n1\"";

/// A file with a registry, and a service that follows it.
fn file_with_registry(registry_settings: &str, service_settings: &str) -> String {
    let registry = format!("[[registry]]\nname = \"r\"\n{registry_settings}\n");
    let follow = format!("registry = {{ name = \"r\", path = \"/flags\"{service_settings} }}\n");
    registry + &file_with_service(&follow).replace(SERVER, "")
}

#[test]
fn valid_registry_is_accepted() {
    assert_eq!(errors(&file_with_registry(MEMBERS, "")), NO_ERRORS);
    assert_eq!(
        errors(&file_with_registry(
            &format!("{MEMBERS}\n{ENTRY}"),
            ", stale = \"refuse\""
        )),
        NO_ERRORS
    );
}

#[test]
fn invalid_registry_is_rejected() {
    assert_error(
        &file_with_registry("members = []", ""),
        "f.toml:1: registry `r` has no members: add their addresses",
    );
    let invalid_path = ENTRY.replace("/nodes/n1", "nodes");
    let guarded = format!("{ENTRY}\nguarded = true");
    for (settings, expected) in [
        (
            "session = \"1ms\"",
            "f.toml:1: registry `r`: session is 0.001s, not between 100ms and 600s",
        ),
        (
            "session = 6",
            "f.toml:4: `6` is a number, not a string: write a time in ms, s or m, such as \"250ms\"",
        ),
        (
            "connect = \"1m\"",
            "f.toml:1: registry `r`: connect must be more than 0 and at most session",
        ),
        (
            &invalid_path,
            "f.toml:4: invalid registry path `nodes`: write an absolute path, such as \"/nodes/n1\"",
        ),
        (
            &guarded,
            "f.toml:4: registry `r`: a guarded entry requires digest_file; without it, no one could change the entry",
        ),
    ] {
        assert_error(
            &file_with_registry(&format!("{MEMBERS}\n{settings}"), ""),
            expected,
        );
    }
}

#[test]
fn service_with_invalid_registry_settings_is_rejected() {
    for (valid, invalid, expected) in [
        (
            "path = \"/flags\"",
            "path = \"/flags/../x\"",
            "f.toml:7: service `a`: invalid registry path `/flags/../x`: write an absolute path, such as \"/flags/evaluate\"",
        ),
        (
            "registry = { name = \"r\"",
            "registry = { name = \"q\"",
            "f.toml:7: service `a`: unknown registry `q`",
        ),
    ] {
        assert_error(
            &file_with_registry(MEMBERS, "").replace(valid, invalid),
            expected,
        );
    }
    for (settings, expected) in [
        (
            ", entries = 0",
            "f.toml:7: service `a`: entries is 0, not between 1 and 100000",
        ),
        (
            ", reread = \"10ms\"",
            "f.toml:7: service `a`: reread and stale_after must be at least 1s",
        ),
        (
            ", stale = \"never\"",
            "f.toml:9: unknown variant `never`, expected `go-on` or `refuse`",
        ),
    ] {
        assert_error(&file_with_registry(MEMBERS, settings), expected);
    }
}
