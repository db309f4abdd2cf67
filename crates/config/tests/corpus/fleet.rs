//! The settings of a fleet.

use crate::{assert_error, errors, file_with_service, NO_ERRORS};

fn file_with_fleet(settings: &str) -> String {
    let fleet =
        "[fleet]\nname = \"f\"\nnode = \"n1\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"k\"\n";
    format!("{fleet}{settings}\n{}", file_with_service(""))
}

#[test]
fn valid_fleet_is_accepted() {
    assert_eq!(errors(&file_with_fleet("")), NO_ERRORS);
    assert_eq!(
        errors(&file_with_fleet(
            "suspect_for = \"2s\"\nverdicts = { witnesses = 2, most = 0.1 }"
        )),
        NO_ERRORS
    );
    let management = "[management]\naddress = \"127.0.0.1:7000\"\n";
    assert_eq!(
        errors(&(management.to_owned() + &file_with_service(""))),
        NO_ERRORS
    );
}

#[test]
fn invalid_fleet_is_rejected() {
    for (settings, expected) in [
        (
            "verdicts = { witnesses = 1 }",
            "f.toml:1: fleet: verdicts.witnesses is 1, not between 2 and 1000",
        ),
        (
            "verdicts = { lasts = \"2m\" }",
            "f.toml:1: fleet: verdicts.lasts is 120s, not between 1s and 60s",
        ),
        (
            "answer_within = \"1s\"",
            "f.toml:1: fleet: answer_within must be more than 0 and less than probe_every",
        ),
        (
            "size = 0",
            "f.toml:1: fleet: size is 0, not between 1 and 100000",
        ),
    ] {
        assert_error(&file_with_fleet(settings), expected);
    }
    let unspecified_address = file_with_fleet("").replace("127.0.0.1:7946", "0.0.0.0:7946");
    assert_error(
        &unspecified_address,
        "f.toml:1: fleet: peers can't send to 0.0.0.0:7946: set advertise",
    );
}
