//! Lengths of datagrams, entries and messages, for the command `words`.

use crate::error::{Error, Result};
use crate::fixtures::{alive, datagram, header, node, secret};
use crate::leases::{client, lease_name};
use reelfall_cluster::entry::{BanId, Entry, Finding, Key, Report, ServerInstance, Value, Version};
use reelfall_cluster::wire::{AppMessage, Header, MemberUpdate, Secret};
use reelfall_lease::message::{
    LogPosition, Message, PeerMessage, Promise, Request, Response, StorageId, Vote,
};

/// Number of the node that sends.
const SENDER: usize = 5000;
/// Number of the node that receives.
const RECEIVER: usize = 1;
/// Number of member updates, or promises, over which a length is averaged.
const AVERAGED: usize = 10;
/// Prefix of the body of an application message.
const APP_MESSAGE_PREFIX: [u8; 8] = [0; 8];
const SERVER_NAME: &str = "service-1234-server-12";
const LIST_NAME: &str = "service-1234";
const ZONE_NAME: &str = "zone-12";
/// Start time of the server, in milliseconds since the epoch.
const SERVER_START_MS: u64 = 1_790_000_000_000;
const BAN_TTL_MS: u32 = 604_800_000;
const REPORT_TTL_MS: u32 = 10_000;
const LIST_INDEX_TTL_MS: u32 = 600_000;
const ENTRY_AGE_US: u64 = 1_500_000;
const LEASE_NUMBER: usize = 30_000;
const LEASE_ROUND: u64 = 1000;
const LEASE_TOKEN: u64 = 5000;
const LEASE_LENGTH_US: u64 = 5_000_000;
const LOG_RECORDS: u64 = 1_000_000;
/// Number of keepers of a lease.
const KEEPERS: usize = 5;

/// Prints all lengths.
pub fn print_lengths() -> Result<()> {
    let secret = secret()?;
    print_datagram_lengths(&secret)?;
    print_lease_lengths(&secret)?;
    // In a list, a comma follows each line.
    print_length("a line of a list with its comma", list_line().len() + 1);
    Ok(())
}

fn print_length(name: &str, bytes: usize) {
    println!("{name}: {bytes} B");
}

fn print_datagram_lengths(secret: &Secret) -> Result<()> {
    let empty = datagram(secret, &sent_header(Vec::new()), &[])?.len();
    print_length("head", empty);
    let members = (2000..2000 + AVERAGED).map(alive).collect();
    let with_members = datagram(secret, &sent_header(members), &[])?.len();
    print_length("member", (with_members - empty) / AVERAGED);
    let entries = [
        ("ban", ban()),
        ("report", report()),
        ("list index", list_index()),
    ];
    for (name, entry) in entries {
        let with_entry = datagram(secret, &sent_header(Vec::new()), &[entry])?.len();
        print_length(name, with_entry - empty);
    }
    Ok(())
}

fn sent_header(members: Vec<MemberUpdate>) -> Header {
    header(node(SENDER), node(RECEIVER).incarnation.tag, members)
}

fn print_lease_lengths(secret: &Secret) -> Result<()> {
    let renewal = app_message_length(secret, &Message::Request(grant()?))?;
    print_length("renewal", renewal);
    let granted = app_message_length(secret, &Message::Response(granted()?))?;
    print_length("its answer, five keepers", granted);
    print_length("a name with its promise", promise_length()?);
    Ok(())
}

fn app_message_length(secret: &Secret, message: &Message) -> Result<usize> {
    let encoded = message.encode().ok_or(Error::MessageTooLong)?;
    let message = AppMessage {
        from: node(SENDER),
        to_tag: node(RECEIVER).incarnation.tag,
        body: [APP_MESSAGE_PREFIX.as_slice(), &encoded].concat(),
    };
    let sealed = message.seal(secret).ok_or(Error::MessageTooLong)?;
    Ok(sealed.len())
}

fn grant() -> Result<Request> {
    Ok(Request::Grant {
        lease: lease_name(LEASE_NUMBER)?,
        round: LEASE_ROUND,
        token: LEASE_TOKEN,
        duration: LEASE_LENGTH_US,
        known_positions: Vec::new(),
    })
}

fn granted() -> Result<Response> {
    let position = LogPosition {
        storage_id: StorageId {
            generation: 1,
            nonce: u64::MAX,
        },
        record_count: LOG_RECORDS,
    };
    Ok(Response::Granted {
        lease: lease_name(LEASE_NUMBER)?,
        round: LEASE_ROUND,
        vote: Vote {
            own_position: position,
            known_positions: vec![Some(position); KEEPERS],
        },
    })
}

/// Returns the bytes of one lease name with its promise, as keepers send them to each other.
fn promise_length() -> Result<usize> {
    Ok((promise_page_length(1 + AVERAGED)? - promise_page_length(1)?) / AVERAGED)
}

fn promise_page_length(promise_count: usize) -> Result<usize> {
    let mut promises = Vec::new();
    for number in 0..promise_count {
        promises.push((lease_name(LEASE_NUMBER + number)?, promise(number)));
    }
    let page = PeerMessage::PromisePage {
        after: None,
        promises,
        ballot_floor: 0,
        is_last: true,
        is_voting: true,
    };
    let encoded = Message::Peer(page).encode().ok_or(Error::PageTooLong)?;
    Ok(encoded.len())
}

fn promise(number: usize) -> Promise {
    Promise {
        ballot: LEASE_TOKEN,
        client: Some(client(number)),
        duration: LEASE_LENGTH_US,
    }
}

fn entry(key: Key, value: Value, ttl_ms: u32) -> Entry {
    let version = Version {
        incarnation: node(SENDER).incarnation,
        sequence: 100,
    };
    Entry {
        key,
        version,
        value,
        ttl_ms,
        age_us: ENTRY_AGE_US,
    }
}

fn ban() -> Entry {
    let id = BanId {
        node: node(SENDER).name,
        incarnation: node(SENDER).incarnation,
        number: 100,
    };
    let key = Key::Ban {
        server: SERVER_NAME.to_owned(),
        id,
    };
    let value = Value::Banned {
        operator: "operator".to_owned(),
    };
    entry(key, value, BAN_TTL_MS)
}

fn report() -> Entry {
    let server = ServerInstance {
        name: SERVER_NAME.to_owned(),
        started_ms: SERVER_START_MS,
    };
    let key = Key::Report {
        server,
        reporter: node(SENDER).name,
    };
    let report = Report {
        finding: Finding::Failing,
        failures: 5,
        successes: 0,
        zone: ZONE_NAME.to_owned(),
        faulty_servers: 3,
        listed_servers: 50_000,
    };
    entry(key, Value::Report(report), REPORT_TTL_MS)
}

fn list_index() -> Entry {
    let key = Key::ListIndex {
        list: LIST_NAME.to_owned(),
    };
    entry(key, Value::ListIndex, LIST_INDEX_TTL_MS)
}

/// Renders the line of a server in an endpoint list.
fn list_line() -> String {
    let line = serde_json::json!({
        "name": SERVER_NAME,
        "address": "10.123.45.67:8080",
        "zone": ZONE_NAME,
        "type": "kind-3",
        "group": 1,
        "status": "active",
        "weight": 1.0,
        "since_ms": SERVER_START_MS,
    });
    line.to_string()
}
