//! The tables between the markers of a page.
//!
//! ```text
//! <!-- table: NAME -->
//! ...
//! <!-- end -->
//! ```

use super::Fault;
use std::collections::BTreeMap;

const END: &str = "<!-- end -->";

fn begin(name: &str) -> String {
    format!("<!-- table: {name} -->\n")
}

/// Where a table stands in a page: what is between its marker and the next end.
fn place(page: &str, name: &str) -> Result<std::ops::Range<usize>, Fault> {
    let none = || Fault::NoPlace(name.to_owned());
    let marker = begin(name);
    let from = page.find(&marker).ok_or_else(none)? + marker.len();
    let rest = page.get(from..).ok_or_else(none)?;
    let to = from + rest.find(END).ok_or_else(none)?;
    // The next table's marker before this one's end: the end is missing.
    let held = page.get(from..to).ok_or_else(none)?;
    (!held.contains("<!-- table: "))
        .then_some(from..to)
        .ok_or_else(none)
}

/// The page with these tables in their places.
///
/// # Errors
/// If the page has no place for one.
pub fn with_tables(page: &str, tables: &BTreeMap<&'static str, String>) -> Result<String, Fault> {
    let mut page = page.to_owned();
    for (name, table) in tables {
        let place = place(&page, name)?;
        page.replace_range(place, &format!("\n{table}\n"));
    }
    Ok(page)
}

/// The tables of which the page has other text, by their names.
///
/// # Errors
/// If the page has no place for one.
pub fn stale(
    page: &str,
    tables: &BTreeMap<&'static str, String>,
) -> Result<Vec<&'static str>, Fault> {
    let mut stale = Vec::new();
    for (name, table) in tables {
        let held = page.get(place(page, name)?).unwrap_or_default();
        if held.trim() != table.trim() {
            stale.push(*name);
        }
    }
    Ok(stale)
}
