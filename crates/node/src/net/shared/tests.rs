//! Numbers of the shared state that tests check.

use super::Shared;

impl Shared {
    /// The number of registered pools.
    pub fn registered_pools(&self) -> usize {
        self.pools.borrow().len()
    }
}
