//! Groups of keepers: lost, outdated or replaced folders, hundreds of waiting clients, and tokens that outlast a lease.

mod keeper_group;
mod messages;
mod queue;
mod storage_faults;
mod tokens;
