//! Tables between the markers of a page. The example `capacity` writes and checks pages with it.
//!
//! ```text
//! <!-- table: NAME -->
//! ...
//! <!-- end -->
//! ```

use super::error::Error;
use super::Tables;
use std::ops::Range;

const START_MARKER: &str = "<!-- table: ";
const END_MARKER: &str = "<!-- end -->";

fn start_marker(name: &str) -> String {
    format!("{START_MARKER}{name} -->\n")
}

/// Returns the byte range between the start marker of a table and the next end marker.
fn table_range(page: &str, name: &str) -> Result<Range<usize>, Error> {
    let missing = || Error::MissingMarker(name.to_owned());
    let marker = start_marker(name);
    let start = page.find(&marker).ok_or_else(missing)? + marker.len();
    let rest = page.get(start..).ok_or_else(missing)?;
    let end = start + rest.find(END_MARKER).ok_or_else(missing)?;
    let content = page.get(start..end).ok_or_else(missing)?;
    // Another start marker before the end marker means that this table's end marker is missing.
    if content.contains(START_MARKER) {
        return Err(missing());
    }
    Ok(start..end)
}

/// Returns the page with the content of each given table replaced.
///
/// # Errors
/// If the page lacks a marker of one of the tables.
pub fn replace_tables(page: &str, tables: &Tables) -> Result<String, Error> {
    let mut page = page.to_owned();
    for (name, table) in tables {
        let range = table_range(&page, name)?;
        page.replace_range(range, &format!("\n{table}\n"));
    }
    Ok(page)
}

/// Returns the names of the tables whose content differs from the page.
///
/// # Errors
/// If the page lacks a marker of one of the tables.
pub fn stale_tables(page: &str, tables: &Tables) -> Result<Vec<&'static str>, Error> {
    let mut stale = Vec::new();
    for (name, table) in tables {
        let current = page.get(table_range(page, name)?).unwrap_or_default();
        if current.trim() != table.trim() {
            stale.push(*name);
        }
    }
    Ok(stale)
}
