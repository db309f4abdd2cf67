//! Traffic and processor time of a [`Network`]'s endpoints, for the reports of scale runs and the check of budgets.

use super::Network;
use crate::control::account::{Account, Usage};
use crate::control::endpoint::Endpoint;

impl<E: Endpoint> Network<E> {
    /// The account of an endpoint.
    pub fn account(&self, endpoint: u32) -> Option<&Account> {
        self.slots.get(endpoint as usize).map(|slot| &slot.account)
    }

    /// Resets all accounts.
    pub fn reset_accounts(&mut self) {
        self.accounting_since = self.now;
        for slot in &mut self.slots {
            slot.account = Account::default();
        }
    }

    /// What some endpoints used since the last reset.
    pub fn usage(&self, endpoints: impl IntoIterator<Item = u32>) -> Usage {
        let accounts = endpoints
            .into_iter()
            .filter_map(|endpoint| self.account(endpoint));
        Usage::of(accounts, self.now - self.accounting_since)
    }
}
