//! The tables of the pages and the markers that enclose them.

use crate::{read_capacity_page, recorded_costs, repository_root};
use reelfall_capacity::budget::{capacity_tables, page, pages, ranking, Error, Page};
use std::collections::BTreeMap;

const MARKER_PREFIX: &str = "<!-- table: ";
const MARKER_SUFFIX: &str = " -->";

#[test]
fn capacity_page_matches_its_inputs() {
    let tables = capacity_tables(&repository_root()).unwrap();
    let stale = page::stale_tables(&read_capacity_page(), &tables).unwrap();
    assert!(
        stale.is_empty(),
        "stale tables {stale:?}; regenerate them with cargo run -p reelfall-capacity --example capacity -- --write"
    );
}

#[test]
fn every_page_matches_its_inputs() {
    for Page { file: name, tables } in pages(&repository_root()).unwrap() {
        let text = std::fs::read_to_string(repository_root().join(name)).unwrap();
        let stale = page::stale_tables(&text, &tables).unwrap();
        assert!(
            stale.is_empty(),
            "{name}: stale tables {stale:?}; regenerate them with cargo run -p reelfall-capacity --example capacity -- --write"
        );
        let markers: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix(MARKER_PREFIX))
            .collect();
        assert_eq!(markers.len(), tables.len(), "{name}: {markers:?}");
        assert!(markers
            .iter()
            .all(|marker| tables.contains_key(marker.trim_end_matches(MARKER_SUFFIX))));
    }
}

#[test]
fn changed_table_is_reported_as_stale() {
    let mut tables = capacity_tables(&repository_root()).unwrap();
    tables
        .get_mut("ranking")
        .unwrap()
        .push_str("| another row |\n");
    assert_eq!(
        page::stale_tables(&read_capacity_page(), &tables).unwrap(),
        ["ranking"]
    );
    let updated_page = page::replace_tables(&read_capacity_page(), &tables).unwrap();
    assert_eq!(page::stale_tables(&updated_page, &tables).unwrap(), [""; 0]);
}

#[test]
fn every_marker_names_a_table() {
    let tables = capacity_tables(&repository_root()).unwrap();
    let page = read_capacity_page();
    let markers: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix(MARKER_PREFIX))
        .collect();
    let table_names: Vec<&str> = markers
        .iter()
        .map(|marker| marker.strip_suffix(MARKER_SUFFIX).unwrap())
        .collect();
    assert_eq!(table_names.len(), tables.len());
    assert!(
        table_names.iter().all(|name| tables.contains_key(name)),
        "{table_names:?}"
    );
}

#[test]
fn incomplete_markers_are_rejected() {
    let tables = BTreeMap::from([("a", "| x |\n".to_owned())]);
    for page in [
        "",
        "<!-- table: a -->\n",
        "<!-- table: a -->\n<!-- table: b -->\n<!-- end -->\n",
    ] {
        assert!(
            matches!(
                page::replace_tables(page, &tables),
                Err(Error::MissingMarker(_))
            ),
            "{page}"
        );
    }
    let updated_page = page::replace_tables("<!-- table: a -->\n<!-- end -->\n", &tables).unwrap();
    assert_eq!(updated_page, "<!-- table: a -->\n\n| x |\n\n<!-- end -->\n");
}

#[test]
fn shortfalls_are_ranked_with_settings_changes_first() {
    let first = &ranking::shortfalls(&recorded_costs())[0];
    assert!(
        first.name.starts_with("changes of settings"),
        "{}",
        first.name
    );
    let factors: Vec<f64> = ranking::shortfalls(&recorded_costs())
        .iter()
        .map(ranking::Shortfall::factor)
        .collect();
    assert!(
        factors.is_sorted_by(|previous, next| previous >= next)
            && factors.iter().all(|factor| *factor > 1.0),
        "{factors:?}"
    );
}
