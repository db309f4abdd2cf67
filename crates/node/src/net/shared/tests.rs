//! What tests want to know of the books.

use super::Shared;

impl Shared {
    /// How many pools are known.
    pub fn pools(&self) -> usize {
        self.pools.borrow().len()
    }
}
