//! Access to internal counts for tests.

use super::Shared;

impl Shared {
    /// The number of registered pools.
    pub fn registered_pools(&self) -> usize {
        self.pools.borrow().len()
    }
}
