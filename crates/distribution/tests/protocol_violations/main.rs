//! Peers that send unrequested, invalid, repeated or excessive payloads: at worst they lose their session, and nothing
//! else changes.

mod child_sessions;
mod frames;
mod scripted_relay;
mod upstream_sessions;
#[path = "../world/mod.rs"]
mod world;
