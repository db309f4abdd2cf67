//! GraphQL over HTTP through a node, in front of servers that count the effects of each mutation.
//!
//! | module | what it tests |
//! | --- | --- |
//! | `http` | methods, media types and statuses |
//! | `documents` | ambiguous, persisted and oversized documents |
//! | `failures` | failures of servers, and retries |
//! | `cancellation` | deadlines, and clients that disconnect |
//! | `harness` | starts a node with its servers, and sends requests |

mod cancellation;
mod documents;
mod failures;
mod harness;
mod http;
