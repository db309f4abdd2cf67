//! Traffic and processor time of a [`Network`]'s endpoints, for reports of scale runs and checks of budgets.

use super::Network;
use crate::control::account::{Account, Usage};
use crate::control::endpoint::Endpoint;

impl<E: Endpoint> Network<E> {
    /// The account of an endpoint.
    pub fn account(&self, endpoint: u32) -> Option<&Account> {
        self.slots.get(endpoint as usize).map(|slot| &slot.account)
    }

    /// Resets the accounts of all endpoints, and starts a new accounting period.
    pub fn reset_accounts(&mut self) {
        self.accounting_since = self.now;
        for slot in &mut self.slots {
            slot.account = Account::default();
        }
    }

    /// The usage of a set of endpoints since the last reset.
    pub fn usage(&self, endpoints: impl IntoIterator<Item = u32>) -> Usage {
        let accounts = endpoints
            .into_iter()
            .filter_map(|endpoint| self.account(endpoint));
        Usage::of(accounts, self.now - self.accounting_since)
    }
}
