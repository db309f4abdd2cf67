//! One test for each failure that the decision module guards against.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod endpoint_list;
mod input_validation;
mod outlier_ejection;
mod retries;
mod selection;
mod slow_start;

use common::class;
use reelfall_balancer::interface::{Class, ClassId, Idempotency, Time};

const IDEMPOTENT_CLASS: ClassId = 0;
const AT_MOST_ONCE_CLASS: ClassId = 1;

/// The time that a client waits for its response, as the settings of the tests have it.
const DEADLINE: Time = 0.6;

/// The number of requests between two timers, where a test runs them at a steady rate.
const REQUESTS_PER_TIMER: u32 = 7;

/// One class for each of the class constants.
fn classes() -> Vec<Class> {
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
    ]
}
