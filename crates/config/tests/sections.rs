//! A file that is read service by service says the same as one that is read at once.
//!
//! A key with escapes in a header makes the reader take a file at once. Each file here has the same listener once with a
//! bare key and once with one that is written with escapes.

mod common;

use common::{whole_service, LISTENER};
use reelfall_config::model::{Model, Origin};
use reelfall_config::{reader, Faults};

/// Headers of the listener.
const HEADERS: [&str; 2] = ["[[listener]]", "[[\"list\\u0065ner\"]]"];

/// Reads a file service by service and at once; `file` makes it with a listener.
fn both(file: impl Fn(&str) -> String) -> [Result<Model, Faults>; 2] {
    HEADERS.map(|header| reader::toml("f.toml", &file(&LISTENER.replace(HEADERS[0], header))))
}

/// The places of all that a service has.
fn places(model: &Model) -> Vec<&Origin> {
    let services = model.services.iter().flat_map(|service| {
        let routes = service.routes.iter().map(|route| &route.origin);
        let members = service.tenants.iter().map(|member| &member.origin);
        [&service.origin, &service.limits.origin]
            .into_iter()
            .chain(routes)
            .chain(members)
    });
    let listeners = model.listeners.iter().map(|listener| &listener.origin);
    listeners
        .chain([&model.process.origin])
        .chain(services)
        .collect()
}

#[track_caller]
fn assert_same(text: &str) {
    match both(|listener| text.to_owned() + listener) {
        [Ok(split), Ok(whole)] => {
            assert_eq!(split, whole, "for\n{text}");
            assert_eq!(places(&split), places(&whole), "for\n{text}");
        }
        [Err(_), Err(_)] => {}
        [split, whole] => panic!("{split:?}\ninstead of\n{whole:?}\nfor\n{text}"),
    }
}

/// Pieces that are valid or not by what stands before them.
const PIECES: [&str; 11] = [
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

/// The longest row of pieces.
const MAX_PIECES: u32 = 4;

#[test]
fn all_rows_of_pieces_are_read_alike() {
    let kinds = PIECES.len();
    for length in 0..=MAX_PIECES {
        for row in 0..kinds.pow(length) {
            let piece = |at| PIECES[row / kinds.pow(at) % kinds];
            assert_same(&(0..length).map(piece).collect::<String>());
        }
    }
}

#[test]
fn mistakes_are_told_alike() {
    let services = whole_service(0) + "[process]\nnodes = 1\n" + &whole_service(1);
    for mistake in [
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
        let [split, whole] = both(|listener| listener.to_owned() + &services + mistake);
        assert!(whole.is_err(), "no mistake: {mistake}");
        assert_eq!(split, whole, "for {mistake}");
    }
}

#[test]
fn a_mark_of_the_byte_order_is_no_part_of_a_service() {
    let text = "\u{feff}".to_owned() + &whole_service(0);
    assert_same(&text);
    assert_eq!(reader::toml("f.toml", &text).unwrap().services.len(), 1);
}

#[test]
fn lines_are_those_of_the_file() {
    let text = format!(
        "{LISTENER}{}[process]\nnodes = 1\n{}",
        whole_service(0),
        whole_service(1)
    );
    let model = reader::toml("f.toml", &text).unwrap();
    let lines: Vec<u32> = places(&model).iter().map(|origin| origin.line).collect();
    assert_eq!(lines, [1, 14, 4, 0, 12, 16, 0, 24]);
}
