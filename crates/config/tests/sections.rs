//! Reading a file service by service gives the same model and the same errors as parsing it as a whole.
//!
//! A header key with escapes makes the reader parse the file as a whole. So each file of these tests is read twice: with
//! a listener whose header has a bare key, and with one whose header key has escapes.

mod common;

use common::{whole_service, LISTENER};
use reelfall_config::model::{Model, Origin};
use reelfall_config::{reader, ConfigErrors};

const BARE_HEADER: &str = "[[listener]]";
const ESCAPED_HEADER: &str = "[[\"list\\u0065ner\"]]";

/// The results of both ways of reading the same settings.
struct Readings {
    by_service: Result<Model, ConfigErrors>,
    as_whole: Result<Model, ConfigErrors>,
}

/// Reads a file service by service and as a whole; `make_file` returns its text with the given listener.
fn read_both_ways(make_file: impl Fn(&str) -> String) -> Readings {
    let read = |listener: &str| reader::parse_toml("f.toml", &make_file(listener));
    Readings {
        by_service: read(LISTENER),
        as_whole: read(&LISTENER.replace(BARE_HEADER, ESCAPED_HEADER)),
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
    match (readings.by_service, readings.as_whole) {
        (Ok(by_service), Ok(as_whole)) => {
            assert_eq!(by_service, as_whole, "for\n{text}");
            assert_eq!(origins(&by_service), origins(&as_whole), "for\n{text}");
        }
        (Err(_), Err(_)) => {}
        (by_service, as_whole) => {
            panic!("{by_service:?}\ninstead of\n{as_whole:?}\nfor\n{text}")
        }
    }
}

/// Fragments of a file; whether one is valid depends on those before it.
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

/// The number of fragments in the longest sequence.
const MAX_SEQUENCE: u32 = 4;

#[test]
fn both_ways_of_reading_agree_on_all_sequences_of_fragments() {
    let kinds = FRAGMENTS.len();
    for length in 0..=MAX_SEQUENCE {
        // The digits of the number of a sequence, in base `kinds`, are the indices of its fragments.
        for sequence in 0..kinds.pow(length) {
            let fragment = |position| FRAGMENTS[sequence / kinds.pow(position) % kinds];
            assert_equal_readings(&(0..length).map(fragment).collect::<String>());
        }
    }
}

#[test]
fn both_ways_of_reading_report_the_same_errors() {
    let services = whole_service(0) + "[process]\nnodes = 1\n" + &whole_service(1);
    for invalid_line in [
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
            as_whole,
        } = read_both_ways(|listener| listener.to_owned() + &services + invalid_line);
        assert!(as_whole.is_err(), "no error: {invalid_line}");
        assert_eq!(by_service, as_whole, "for {invalid_line}");
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
