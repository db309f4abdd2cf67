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

/// The range of a table in a page: what is between its marker and the next end.
fn table_range(page: &str, name: &str) -> Result<Range<usize>, Error> {
    let missing = || Error::MissingMarker(name.to_owned());
    let marker = start_marker(name);
    let start = page.find(&marker).ok_or_else(missing)? + marker.len();
    let rest = page.get(start..).ok_or_else(missing)?;
    let end = start + rest.find(END_MARKER).ok_or_else(missing)?;
    let content = page.get(start..end).ok_or_else(missing)?;
    // The next table's marker before this one's end: the end is missing.
    if content.contains(START_MARKER) {
        return Err(missing());
    }
    Ok(start..end)
}

/// The page with these tables in their places.
///
/// # Errors
/// If the page has no marker of one.
pub fn replace_tables(page: &str, tables: &Tables) -> Result<String, Error> {
    let mut page = page.to_owned();
    for (name, table) in tables {
        let range = table_range(&page, name)?;
        page.replace_range(range, &format!("\n{table}\n"));
    }
    Ok(page)
}

/// The names of tables whose text differs in the page.
///
/// # Errors
/// If the page has no marker of one.
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
