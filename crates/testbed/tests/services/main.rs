//! Several services of one node process, over loopback sockets.
//!
//! | module | what it tests |
//! | --- | --- |
//! | `isolation` | quotas and bounds that separate services from each other |
//! | `slow_start` | slow start of a server that belongs to several services |
//! | `draining` | draining and removal of servers and services |
//! | `reload` | settings files that are replaced under load, in parts or with errors |
//! | `routing` | the choice of service and class, and the rejection of ambiguous requests |
//! | `retries` | retries after failures of servers |
//! | `settings` | builds settings files |
//! | `harness` | starts nodes and servers, and sends requests |

mod draining;
mod harness;
mod isolation;
mod reload;
mod retries;
mod routing;
mod settings;
mod slow_start;
