//! The size that the control side is planned for, as reports state it. Shared by `control` and `baseline`.

use reelfall_emulator::control::report::Size;
use reelfall_emulator::control::sizes::Sizes;

/// Configuration changes per day.
pub const CHANGES_PER_DAY: usize = 13_000;

/// The size of a run, without what only some runs have.
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
