//! The properties that must hold in each state, and the one that must hold in some reachable state.

use crate::config::{Exploration, CLIENTS};
use crate::state::{SystemState, TokenUse};
use stateright::Property;

pub const ONE_HOLDER: &str = "at most one holder";
pub const NO_LOWER_TOKEN: &str = "no admitted write with a lower token after a higher one";
pub const NO_SHARED_TOKEN: &str = "no token is used by two clients";
pub const LEASE_PASSES_ON: &str = "the lease passes on with a later token";

pub fn properties() -> Vec<Property<Exploration>> {
    vec![
        Property::always(ONE_HOLDER, |model: &Exploration, system: &SystemState| {
            model.held_tokens(system).len() < 2
        }),
        Property::always(NO_LOWER_TOKEN, |_, system: &SystemState| {
            system.writes.is_sorted_by_key(|write| write.token)
        }),
        Property::always(NO_SHARED_TOKEN, |_, system: &SystemState| {
            has_one_client_per_token(system.writes.iter())
                && has_one_client_per_token(system.acquired.iter())
        }),
        Property::sometimes(
            LEASE_PASSES_ON,
            |model: &Exploration, system: &SystemState| {
                (0..CLIENTS).any(|client| {
                    let token = model.held_token(system, client);
                    token.is_some_and(|token| token > 1)
                })
            },
        ),
    ]
}

/// Whether each token was used by one client only.
fn has_one_client_per_token<'a>(mut uses: impl Iterator<Item = &'a TokenUse> + Clone) -> bool {
    let all = uses.clone();
    uses.all(|one| {
        let mut others = all.clone();
        others.all(|other| other.token != one.token || other.client == one.client)
    })
}
