//! The size of the target system in the format of reports, for `control` and `baseline`.

use reelfall_emulator::control::report::Size;
use reelfall_emulator::control::sizes::Sizes;

/// Configuration changes per day.
pub const CHANGES_PER_DAY: usize = 13_000;

/// The size of a run with the target's rate of changes, without values that only some runs have.
pub fn size(sizes: Sizes) -> Size {
    Size {
        nodes: sizes.nodes as usize,
        services: sizes.services as usize,
        routes: sizes.routes as usize,
        tenants: sizes.tenants as usize,
        changes: CHANGES_PER_DAY,
        ..Size::default()
    }
}
