//! Guards against changes to the encoding of the lease protocol's messages and of a keeper's log records.
//! `golden/messages.txt` was written by the code of commit c58caac and does not change: processes of earlier versions run
//! in the same fleet.

use reelfall_lease::durable::{DurableState, Record};
use reelfall_lease::message::{
    ClientId, LogPosition, Message, PeerMessage, Promise, RejectionReason, Request, Response,
    StorageId, Vote,
};
use reelfall_lease::token::LeaseName;

const GOLDEN: &str = include_str!("golden/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn lease_name(text: &str) -> LeaseName {
    LeaseName::try_from(text.to_owned()).unwrap()
}

fn position(n: u64) -> LogPosition {
    LogPosition {
        storage_id: StorageId {
            generation: 2,
            nonce: 0xabcd_0000 + n,
        },
        record_count: 300 * n,
    }
}

fn vote() -> Vote {
    Vote {
        own_position: position(1),
        known_positions: vec![Some(position(1)), None, Some(position(3))],
    }
}

fn promise(client: Option<ClientId>) -> Promise {
    Promise {
        ballot: 70_000,
        client,
        duration: 5_000_000,
    }
}

fn client() -> ClientId {
    ClientId {
        name: "n1".to_owned(),
        instance_id: 0x1234_5678_9abc_def0,
    }
}

fn messages() -> Vec<Message> {
    let lease = || lease_name("calls/flags");
    let requests = [
        Request::Prepare {
            lease: lease(),
            round: 5,
            ballot: 900,
            duration: 5_000_000,
            waited: 1_250_000,
        },
        Request::Grant {
            lease: lease(),
            round: 6,
            token: 900,
            duration: 5_000_000,
            known_positions: vote().known_positions,
        },
        Request::Release {
            lease: lease(),
            token: 900,
        },
    ];
    let reasons = [
        RejectionReason::StaleBallot,
        RejectionReason::Held { remaining: 777_000 },
        RejectionReason::NotFirstInQueue,
        RejectionReason::NotVoting,
        RejectionReason::InvalidDuration,
        RejectionReason::AtCapacity,
    ];
    let rejections = reasons.map(|reason| Response::Rejected {
        lease: lease(),
        round: 5,
        reason,
        promised: 901,
    });
    let responses = [
        Response::Promised {
            lease: lease(),
            round: 5,
            vote: vote(),
        },
        Response::Granted {
            lease: lease(),
            round: 6,
            vote: vote(),
        },
        Response::Available { lease: lease() },
    ];
    let peers = [
        PeerMessage::PositionQuery {
            position: Some(position(1)),
        },
        PeerMessage::PositionQuery { position: None },
        PeerMessage::PositionReply {
            recorded: Some(position(2)),
            is_voting: true,
        },
        PeerMessage::PromiseQuery { after: None },
        PeerMessage::PromiseQuery {
            after: Some(lease()),
        },
        PeerMessage::PromisePage {
            after: Some(lease()),
            promises: vec![
                (lease_name("a"), promise(Some(client()))),
                (lease_name("b"), promise(None)),
            ],
            ballot_floor: 12,
            is_last: true,
            is_voting: false,
        },
    ];
    let requests = requests.into_iter().map(Message::Request);
    let responses = responses
        .into_iter()
        .chain(rejections)
        .map(Message::Response);
    requests
        .chain(responses)
        .chain(peers.into_iter().map(Message::Peer))
        .collect()
}

fn records() -> Vec<Record> {
    vec![
        Record::Created(StorageId {
            generation: 2,
            nonce: 0xabcd_0001,
        }),
        Record::Admitted,
        Record::PeerPosition(2, position(2)),
        Record::Promised(lease_name("calls/flags"), promise(Some(client()))),
        Record::Promised(lease_name("b"), promise(None)),
        Record::Evicted(lease_name("b")),
        Record::BallotFloor(70_001),
    ]
}

#[test]
fn messages_records_and_state_match_the_golden_bytes() {
    let mut lines = Vec::new();
    for message in messages() {
        let bytes = message.encode().unwrap();
        assert_eq!(Message::decode(&bytes), Some(message));
        lines.push(format!("message {}", hex(&bytes)));
    }
    let mut state = DurableState::default();
    for record in records() {
        state.apply(&record);
        let bytes = postcard::to_stdvec(&record).unwrap();
        assert_eq!(postcard::from_bytes::<Record>(&bytes).unwrap(), record);
        lines.push(format!("record {}", hex(&bytes)));
    }
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(postcard::from_bytes::<DurableState>(&bytes).unwrap(), state);
    lines.push(format!("state {}", hex(&bytes)));
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}
