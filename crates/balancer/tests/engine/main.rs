//! Tests of the engine in virtual time: with a random decision module that attempts to break the rules, and with the
//! real module and servers that fail, stall, or run requests whose attempts fail.

#[path = "../common/mod.rs"]
mod common;
mod endpoint_updates;
mod faulty_servers;
mod generators;
mod hostile_module;
mod rule_checker;

use common::{class, endpoint_of, settings};
use reelfall_balancer::engine::{AddressedEndpoint, Command, Host};
use reelfall_balancer::interface::{
    Class, Endpoint, Idempotency, KeyScope, ServerId, ServerState, Time,
};

/// The idempotency window of keyed requests, shorter than the time between two attempts can be.
const IDEMPOTENCY_WINDOW: Time = 0.06;

const IDEMPOTENT_CLASS: u16 = 0;
const AT_MOST_ONCE_CLASS: u16 = 1;
const KEYED_CLASS: u16 = 2;

struct TestHost;

impl Host for TestHost {
    type Payload = u32;
    type Reply = u32;
    type Address = u32;
    type Answer = &'static str;
}

type Commands = Vec<Command<TestHost>>;

/// One class for each kind of idempotency, in the order of the class constants.
fn classes() -> Vec<Class> {
    let keyed = Idempotency::Keyed {
        scope: KeyScope::All,
        window: IDEMPOTENCY_WINDOW,
    };
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
        class(keyed),
    ]
}

fn endpoint(server: ServerId, state: ServerState) -> AddressedEndpoint<u32> {
    AddressedEndpoint {
        endpoint: Endpoint {
            state,
            ..endpoint_of(server)
        },
        address: server,
    }
}
