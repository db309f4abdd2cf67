//! Requests with a body while servers stop in every way, on the real program: each gets one answer in time, and none that
//! may have run is refused.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `nodes`, `clients`, `servers` | what the tests start |
//! | `resets` | servers that stop after they have received a body |
//! | `stalls` | servers that stop reading a body, and those that only read it slowly |
//! | `graphql` | GraphQL requests, which are always buffered |
//! | `endings` | clients that leave, and nodes that end, upgrade or reload during an upload |

mod clients;
mod endings;
mod graphql;
mod nodes;
mod resets;
mod servers;
mod stalls;
