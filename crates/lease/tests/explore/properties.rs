//! What must hold in each state, and what must be reachable.

use crate::config::{Exploration, CLIENTS};
use crate::state::{TokenUse, World};
use stateright::Property;

pub const ONE_HOLDER: &str = "one holder";
pub const NO_LOWER_TOKEN: &str = "no lower token after a higher one";
pub const NO_SHARED_TOKEN: &str = "no token of two clients";
pub const LEASE_PASSES_ON: &str = "one holder after the other";

pub fn properties() -> Vec<Property<Exploration>> {
    vec![
        Property::always(ONE_HOLDER, |model: &Exploration, world: &World| {
            model.held_tokens(world).len() < 2
        }),
        Property::always(NO_LOWER_TOKEN, |_, world: &World| {
            world.writes.is_sorted_by_key(|write| write.token)
        }),
        Property::always(NO_SHARED_TOKEN, |_, world: &World| {
            is_token_per_client(world.writes.iter()) && is_token_per_client(world.acquired.iter())
        }),
        Property::sometimes(LEASE_PASSES_ON, |model: &Exploration, world: &World| {
            (0..CLIENTS).any(|client| {
                let token = model.held_token(world, client);
                token.is_some_and(|token| token > 1)
            })
        }),
    ]
}

/// Whether no two clients have used the same token.
fn is_token_per_client<'a>(mut uses: impl Iterator<Item = &'a TokenUse> + Clone) -> bool {
    let all = uses.clone();
    uses.all(|one| {
        let mut others = all.clone();
        others.all(|other| other.token != one.token || other.client == one.client)
    })
}
