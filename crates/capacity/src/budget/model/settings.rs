//! The settings file and its changes, for the tables of roles, the ranking and the worst cases.

use super::costs::Costs;
use super::DAY_SECONDS;
use crate::scale::report::Size;

/// Largest number of changes within [`BURST_SECONDS`].
pub const BURST_CHANGES: f64 = 500.0;
/// The window of [`BURST_CHANGES`], in seconds.
pub const BURST_SECONDS: f64 = 60.0;

/// Number of entries in a settings file.
pub fn entries(size: &Size) -> f64 {
    (size.services + size.servers + size.routes + size.tenants) as f64
}

/// Bytes of a whole settings file, with the mean entry length of the file at the target.
pub fn file_bytes(costs: &Costs, size: &Size) -> f64 {
    costs.settings_bytes * entries(size) / entries(&Size::TARGET)
}

/// Changes of settings per second, averaged over a day.
pub fn change_rate(size: &Size) -> f64 {
    size.changes as f64 / DAY_SECONDS
}

/// Bytes per second in a burst of 500 changes in a minute, given the bytes per change.
pub fn burst_traffic(bytes_per_change: f64) -> f64 {
    bytes_per_change * BURST_CHANGES / BURST_SECONDS
}

/// Bytes of one change that is sent separately: its packet and the acknowledgement.
pub fn change_packet_bytes(costs: &Costs) -> f64 {
    costs.change_bytes + 2.0 * costs.packet_overhead
}

/// Seconds to read and check a file of this length; proportional to the length.
pub fn read_seconds(costs: &Costs, bytes: f64) -> f64 {
    costs.read_seconds * bytes / costs.read_length
}

/// Memory while a file of this length is read; proportional to the length because the parsed state grows with the entries.
pub fn read_memory(costs: &Costs, bytes: f64) -> f64 {
    costs.read_memory * bytes / costs.read_length
}
