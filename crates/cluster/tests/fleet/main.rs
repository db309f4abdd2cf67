//! Tests of emulated clusters in virtual time: bans, membership, verdicts on servers, datagrams and random schedules.

mod bans;
mod datagrams;
mod fixture;
mod membership;
mod readmission;
mod schedules;
mod stalls;
mod verdicts;
