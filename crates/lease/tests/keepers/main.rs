//! Groups of keepers with lost, outdated or replaced folders, hundreds of waiting clients, and the retention of tokens.

mod keeper_group;
mod messages;
mod queue;
mod storage_faults;
mod tokens;
