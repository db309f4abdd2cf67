//! Whole files: syntax, the settings of the process, listeners, and the order of errors.

use crate::common::LISTENER;
use crate::{assert_error, errors, file_with_service};

#[test]
fn file_without_required_parts_is_rejected() {
    for expected in [
        "f.toml: no listeners: add [[listener]] with a name and an address",
        "f.toml: no services: add [[service]]",
    ] {
        assert_error("", expected);
    }
}

#[test]
fn syntax_and_value_errors_have_their_line() {
    for (text, expected) in [
        ("[process\n", "f.toml:1: unclosed table, expected `]`"),
        (
            "[process]\nmemory = 500\n",
            "f.toml:2: `500` is a number, not a string: write a size in B, KiB, MiB or GiB, such as \"64KiB\"",
        ),
        (
            "[process]\nmemory = \"500\"\n",
            "f.toml:2: `500` has no unit: write a size in B, KiB, MiB or GiB, such as \"64KiB\"",
        ),
        (
            "[process]\nmemory = \"5ms\"\n",
            "f.toml:2: `5ms` is not a size: write it in B, KiB, MiB or GiB, such as \"64KiB\"",
        ),
        (
            "[[listener]]\nname = \"l\"\naddress = \"localhost\"\n",
            "f.toml:3: `localhost` is not an address: write it with its port, such as \"127.0.0.1:8443\"",
        ),
    ] {
        assert_error(text, expected);
    }
}

#[test]
fn invalid_process_settings_are_rejected() {
    for (process, expected) in [
        (
            "[process]\nmemory = \"1MiB\"\n",
            "f.toml:1: memory: must be at least 16MiB",
        ),
        (
            "\n[process]\ndescriptors = 10\n",
            "f.toml:2: descriptors: must be at least 64",
        ),
        (
            "[process]\nnodes = 0\n",
            "f.toml:1: nodes: must be at least 1, because this node counts",
        ),
        (
            "[process]\nserver_connections = 0\n",
            "f.toml:1: server_connections: must be at least 1",
        ),
        (
            "[process]\nclients = 5000\n",
            "f.toml:1: clients: 5000 is not between 8 and 570, which the descriptors allow",
        ),
    ] {
        assert_error(&format!("{process}{}", file_with_service("")), expected);
    }
}

#[test]
fn duplicate_listeners_are_rejected() {
    let same_address = LISTENER.replace("\"l\"", "\"m\"");
    for (listener, expected) in [
        (
            LISTENER,
            "f.toml:4: duplicate listener `l`: first defined at line 1",
        ),
        (
            &same_address,
            "f.toml:4: duplicate address 127.0.0.1:8443: already used by listener `m`",
        ),
    ] {
        assert_error(&format!("{listener}{}", file_with_service("")), expected);
    }
}

#[test]
fn all_errors_are_reported_in_the_order_of_their_lines() {
    let text = file_with_service("tries = { most = 0 }\n").replace("\"100ms\"", "\"2s\"")
        + "listener = \"x\"\n";
    let origins: Vec<String> = errors(&text)
        .iter()
        .map(|error| error.split(": ").next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(origins, ["f.toml:4", "f.toml:7", "f.toml:15"]);
}

/// The reader does not panic on a file that is truncated, or that has a control character in any place.
#[test]
fn corrupted_files_do_not_panic() {
    const CONTROL_CHARACTER: u8 = b'\x01';
    let text = file_with_service("limits = { rate = \"5/s\" }\n");
    for position in 0..text.len() {
        let _ = errors(&text[..position]);
        let mut corrupted = text.clone().into_bytes();
        corrupted[position] = CONTROL_CHARACTER;
        let _ = errors(&String::from_utf8_lossy(&corrupted));
    }
}
