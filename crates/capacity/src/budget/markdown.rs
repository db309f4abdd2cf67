//! Rendering of Markdown tables for the generated pages.

/// Cell text for a figure that was not measured.
pub const NOT_MEASURED: &str = "not measured";
/// Text that replaces a table without rows.
pub const NO_ROWS: &str = "Not measured yet.\n";

/// Renders a Markdown table.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let separator = vec!["---"; header.len()];
    let rows: String = rows.iter().map(|row| line(&row.join(" | "))).collect();
    line(&header.join(" | ")) + &line(&separator.join(" | ")) + &rows
}

fn line(cells: &str) -> String {
    format!("| {cells} |\n")
}
