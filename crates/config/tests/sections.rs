//! Reading a file service by service gives the same model and the same errors as parsing it in one piece.
//!
//! A key with escapes in a header makes the reader parse the file in one piece. So each file of these tests is read
//! twice: with a listener whose header has a bare key, and with one whose header has escapes.

mod common;

use common::{whole_service, LISTENER};
use reelfall_config::model::{Model, Origin};
use reelfall_config::{reader, ConfigErrors};

const BARE_HEADER: &str = "[[listener]]";
const ESCAPED_HEADER: &str = "[[\"list\\u0065ner\"]]";

/// What both ways of reading give for the same settings.
struct Readings {
    by_service: Result<Model, ConfigErrors>,
    in_one_piece: Result<Model, ConfigErrors>,
}

/// Reads a file service by service and in one piece; `make_file` writes it with the given listener.
fn read_both_ways(make_file: impl Fn(&str) -> String) -> Readings {
    let read = |listener: &str| reader::parse_toml("f.toml", &make_file(listener));
    Readings {
        by_service: read(LISTENER),
        in_one_piece: read(&LISTENER.replace(BARE_HEADER, ESCAPED_HEADER)),
    }
}

/// The origins of all items, in a fixed order.
fn origins(model: &Model) -> Vec<&Origin> {
    let services = model.services.iter().flat_map(|service| {
        let routes = service.routes.iter().map(|route| &route.origin);
        let tenants = service.tenants.iter().map(|tenant| &tenant.origin);
        [&service.origin, &service.limits.origin]
            .into_iter()
            .chain(routes)
            .chain(tenants)
    });
    let listeners = model.listeners.iter().map(|listener| &listener.origin);
    listeners
        .chain([&model.process.origin])
        .chain(services)
        .collect()
}

#[track_caller]
fn assert_equal_readings(text: &str) {
    let readings = read_both_ways(|listener| text.to_owned() + listener);
    match (readings.by_service, readings.in_one_piece) {
        (Ok(by_service), Ok(in_one_piece)) => {
            assert_eq!(by_service, in_one_piece, "for\n{text}");
            assert_eq!(origins(&by_service), origins(&in_one_piece), "for\n{text}");
        }
        (Err(_), Err(_)) => {}
        (by_service, in_one_piece) => {
            panic!("{by_service:?}\ninstead of\n{in_one_piece:?}\nfor\n{text}")
        }
    }
}

/// Fragments of a file whose validity depends on what precedes them.
const FRAGMENTS: [&str; 11] = [
    "[[listener]]\nname = \"m\"\naddress = \"127.0.0.1:8444\"\n",
    "[[service]]\nname = \"a\"\nserver = []\n",
    " [ service . limits ] # [[service]]\nopen = 5\n",
    "[[service.route]]\npath = \"/a\"\n",
    "[[service.member]]\r\nname = 'm'\r\nquota = \"1/s\"\r\n",
    "[process]\nzone = '''\n[[service]]\n'''\n",
    "'service' = []\n",
    "[['service']]\nname = \"b\"\nserver = []\n",
    "[ \"service\".cold]\n",
    "server = [\n# [[service]]\n]\n",
    "methods = [\n\"GET\", # ]\n\"PUT\"]\n",
];

/// The length of the longest sequence of fragments.
const MAX_SEQUENCE: u32 = 4;

#[test]
fn both_readers_agree_on_all_sequences_of_fragments() {
    let kinds = FRAGMENTS.len();
    for length in 0..=MAX_SEQUENCE {
        // The digits of a sequence's number, to the base of `kinds`, are the indices of its fragments.
        for sequence in 0..kinds.pow(length) {
            let fragment = |position| FRAGMENTS[sequence / kinds.pow(position) % kinds];
            assert_equal_readings(&(0..length).map(fragment).collect::<String>());
        }
    }
}

#[test]
fn both_readers_report_the_same_faults() {
    let services = whole_service(0) + "[process]\nnodes = 1\n" + &whole_service(1);
    for faulty_line in [
        "colour = 1\n",
        "methods = [\"GET\"\n",
        "methods = [\n[[\"service\"]]\n]\n",
        "methods = \"GET\n",
        "methods = [\"GET\"]]\n",
        "methods = { a = 1\n",
        "path = \"/b\"\n",
        "assign = '''\n[[service]]\n",
        "[[service.route]\n",
        "[service.route]\n",
        "[[service.member]]\nname = \"m\"\nquota = 1\n",
        "[process]\n",
        "[[]]\n",
        "[\n",
        "[[service]]\nname = 1\n",
        "[[service]]\nserver = []\n[service.limits]\nopen = -1\n",
        "=\n",
        "\u{1}\n",
        "[[\"service]]\n",
        "[['service]]\n",
        "[['service']]\n",
        "[['''service''']]\n",
        "[service]\n",
        "[[\"servic\\u0065\"]]\n",
    ] {
        let Readings {
            by_service,
            in_one_piece,
        } = read_both_ways(|listener| listener.to_owned() + &services + faulty_line);
        assert!(in_one_piece.is_err(), "no error: {faulty_line}");
        assert_eq!(by_service, in_one_piece, "for {faulty_line}");
    }
}

#[test]
fn byte_order_mark_is_ignored() {
    let text = "\u{feff}".to_owned() + &whole_service(0);
    assert_equal_readings(&text);
    assert_eq!(
        reader::parse_toml("f.toml", &text).unwrap().services.len(),
        1
    );
}

#[test]
fn origins_have_line_numbers_of_the_file() {
    let text = format!(
        "{LISTENER}{}[process]\nnodes = 1\n{}",
        whole_service(0),
        whole_service(1)
    );
    let model = reader::parse_toml("f.toml", &text).unwrap();
    let lines: Vec<u32> = origins(&model).iter().map(|origin| origin.line).collect();
    assert_eq!(lines, [1, 14, 4, 0, 12, 16, 0, 24]);
}
