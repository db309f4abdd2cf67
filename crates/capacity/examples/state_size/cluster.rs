//! Memory and processor time of a node among many peers, for the command `peers`.

use crate::error::{Error, Result};
use crate::fixtures::{alive, datagram, header, node, secret};
use crate::measure::{mean_seconds, resident_bytes, Figures, THIS_PROCESS};
use reelfall_cluster::fleet::{Config, Fleet};
use reelfall_cluster::wire::{Header, Secret};

/// The seed of the node's random numbers.
const SEED: u64 = 7;
/// Time at which peers join, in seconds.
const JOINED_AT: f64 = 0.1;
/// Time at which updates on peers arrive, in seconds.
const UPDATED_AT: f64 = 0.2;
/// Time at which a server is banned, in seconds.
const BANNED_AT: f64 = 0.3;
/// The interval of gossip rounds, in seconds.
const ROUND_INTERVAL: f64 = 0.1;
/// Number of updates that are timed.
const UPDATES: usize = 500;
/// Distance between the members of successive updates.
const UPDATE_STRIDE: usize = 7;
/// Sequence number of the first update's datagram, above those of all earlier datagrams.
const UPDATE_SEQUENCE: u64 = 2_000_000;
/// Number of gossip rounds that are timed.
const ROUNDS: usize = 5;
/// Servers in the node's lists while rounds are timed.
const LISTED_SERVERS: usize = 1000;

/// Measures a node in a cluster of `size` nodes, after it has received a datagram from every other node.
pub fn peers(size: usize) -> Result<Figures> {
    let secret = secret()?;
    let own = node(0);
    let before = resident_bytes(THIS_PROCESS)?;
    let tag = own.incarnation.tag;
    let config = Config::default();
    let mut fleet = Fleet::new(
        &own.name,
        own.address,
        tag,
        config,
        secret.clone(),
        SEED,
        0.0,
    );
    for number in 1..size {
        let header = header(node(number), tag, vec![alive(number)]);
        fleet.receive(JOINED_AT, &datagram(&secret, &header, &[])?);
        drain(&mut fleet);
    }
    let after = resident_bytes(THIS_PROCESS)?;
    let known = fleet.members().other_count();
    if known + 1 != size {
        return Err(Error::UnknownPeers { known, size });
    }
    Ok(Figures::from([
        ("bytes".to_owned(), after - before),
        (
            "word_seconds".to_owned(),
            update_seconds(&mut fleet, &secret, tag, size)?,
        ),
        ("spread_seconds".to_owned(), round_seconds(&mut fleet)),
    ]))
}

fn drain(fleet: &mut Fleet) {
    while fleet.next_datagram().is_some() || fleet.next_event().is_some() {}
}

/// Measures the seconds to receive an update on one member, which searches all members.
fn update_seconds(fleet: &mut Fleet, secret: &Secret, tag: u64, size: usize) -> Result<f64> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    for number in 0..UPDATES {
        let member = 1 + number * UPDATE_STRIDE % (size - 1);
        let header = Header {
            sequence: UPDATE_SEQUENCE + number as u64,
            ..header(node(1), tag, vec![alive(member)])
        };
        datagrams.push(datagram(secret, &header, &[])?);
    }
    let seconds = mean_seconds(datagrams.len(), |number| {
        let datagram = datagrams.get(number).map_or(&[][..], Vec::as_slice);
        fleet.receive(UPDATED_AT, datagram);
    });
    drain(fleet);
    Ok(seconds)
}

/// Measures the seconds of a gossip round with an update to send.
fn round_seconds(fleet: &mut Fleet) -> f64 {
    fleet.ban(BANNED_AT, "server-1", "measured", None);
    mean_seconds(ROUNDS, |round| {
        fleet.tick(BANNED_AT + ROUND_INTERVAL * round as f64, LISTED_SERVERS);
        while fleet.next_datagram().is_some() {}
    })
}
