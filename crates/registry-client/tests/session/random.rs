//! Random bytes and events in every state of a session.

use crate::{
    connected_session, handshake_response, response_header, take_commands, take_events, NO_ERROR,
    SESSION_ID,
};
use proptest::prelude::{any, prop, prop_assert_eq, prop_oneof, Strategy, TestCaseError};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::session::{Event, Session};
use reelfall_registry_client::wire::Op;

#[derive(Clone, Debug)]
enum Step {
    ReceiveBytes(Vec<u8>),
    /// A handshake response with the session's id, or with one of the next two ids.
    ReceiveHandshake {
        id_offset: u8,
    },
    /// A response to the request after the last accepted one, with a body of booleans.
    ReceiveResponse {
        body: Vec<bool>,
    },
    Disconnect,
    Connect,
    Request,
    Wait {
        seconds: f64,
    },
}

fn event(kind: u8, bytes: &[u8]) -> Step {
    match kind {
        1 => Step::ReceiveHandshake {
            id_offset: bytes.len() as u8 % 3,
        },
        2 => Step::ReceiveResponse {
            body: bytes.iter().map(|byte| *byte > 99).collect(),
        },
        3 => Step::Disconnect,
        4 => Step::Connect,
        _ => Step::Request,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => prop::collection::vec(any::<u8>(), 0..60).prop_map(Step::ReceiveBytes),
        3 => (1..6u8, prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(kind, bytes)| event(kind, &bytes)),
        2 => (0.0..3.0f64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// A session, and the counts of its requests.
struct Driver {
    session: Session,
    now: f64,
    /// The number of requests that the session accepted.
    accepted: u64,
    /// The number of requests that got a response or were lost.
    ended: u64,
    last_token: u64,
    last_xid: i32,
}

impl Driver {
    fn new() -> Driver {
        Driver {
            session: connected_session(0.0),
            now: 0.0,
            accepted: 0,
            ended: 0,
            last_token: 0,
            last_xid: 0,
        }
    }

    fn perform(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::ReceiveBytes(bytes) => self.session.handle_bytes(now, &bytes),
            Step::ReceiveHandshake { id_offset } => {
                let response = handshake_response(SESSION_ID + i64::from(id_offset));
                self.session.handle_bytes(now, &response);
            }
            Step::ReceiveResponse { body } => {
                let header = response_header(self.last_xid + 1, self.last_token as i64, NO_ERROR);
                let frame = body
                    .into_iter()
                    .fold(header, |frame, value| frame.boolean(value));
                self.session.handle_bytes(now, &frame.finish());
            }
            Step::Disconnect => self.session.handle_disconnected(now),
            Step::Connect => self.session.handle_connected(now),
            Step::Request => self.request(),
            Step::Wait { seconds } => {
                self.now += seconds;
                self.session.tick(self.now);
            }
        }
    }

    fn request(&mut self) {
        self.last_token += 1;
        let op = match self.last_token % 3 {
            0 => Op::GetData {
                path: "/x".to_owned(),
                watch: true,
            },
            1 => Op::GetChildren {
                path: "/".to_owned(),
                watch: true,
            },
            _ => Op::GetAcl {
                path: "/x".to_owned(),
            },
        };
        if self.session.request(self.now, self.last_token, op) {
            self.accepted += 1;
            self.last_xid = self.last_token as i32;
        }
    }

    fn count_ended_requests(&mut self) {
        take_commands(&mut self.session);
        for event in take_events(&mut self.session) {
            if matches!(event, Event::Response(..) | Event::RequestLost(_)) {
                self.ended += 1;
            }
        }
    }
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut driver = Driver::new();
    for step in steps {
        driver.perform(step);
        driver.count_ended_requests();
        prop_assert_eq!(
            driver.accepted,
            driver.ended + driver.session.pending_count() as u64,
            "the accepted requests are not those that have ended or are pending"
        );
    }
    driver.session.close(driver.now);
    driver.ended += take_events(&mut driver.session)
        .iter()
        .filter(|event| matches!(event, Event::RequestLost(_)))
        .count() as u64;
    prop_assert_eq!(driver.accepted, driver.ended);
    prop_assert_eq!(driver.session.deadline(), None);
    Ok(())
}

/// Whatever the session receives in any state, it does not panic, and each request ends exactly once.
#[test]
fn random_bytes_end_every_request_exactly_once() {
    let steps = prop::collection::vec(step(), 1..80);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, run)
        .unwrap();
}
