//! Stand-ins and instruments for trying and testing reelfall on loopback addresses.

pub mod scripted;
