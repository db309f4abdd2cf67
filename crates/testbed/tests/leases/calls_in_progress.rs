//! Nodes that give a lease back while the resource works on a call that the lease guards: the next holder's call must not begin
//! before that one has ended.

use crate::fleets::{self, reserve_fleet, run_for};
use crate::{wait_until_keepers_vote, KEEPER_COUNT, LEASE};
use reelfall_testbed::fleet::history::Event;
use reelfall_testbed::fleet::{FleetSpec, TestFleet, SHORT_SLOW_START};
use reelfall_testbed::scripted::{self, Message};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a call is left without an answer, in seconds: longer than the lease lasts without a renewal.
const CALL_SECONDS: f64 = 1.5;
/// Longer than any call of these tests.
const LONG_CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// When a process ends after SIGTERM: the longest deadline (2 s) and 0.6 s, with 0.4 s of slack for a busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(3);

/// A call as the resource saw it.
struct Call {
    holder: String,
    began_at: Instant,
    /// When it was answered, or when the holder closed its connection.
    ended_at: Option<Instant>,
    stream: TcpStream,
}

/// A resource that leaves calls without an answer until it is told to answer them.
struct HeldResource {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl HeldResource {
    fn start() -> HeldResource {
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let recorded = calls.clone();
        let address = scripted::serve(move |stream, _| record_call(&stream, &recorded));
        HeldResource { address, calls }
    }

    fn with_calls<T>(&self, query: impl FnOnce(&mut Vec<Call>) -> T) -> T {
        query(&mut self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn call_count(&self) -> usize {
        self.with_calls(|calls| calls.len())
    }

    fn answer(&self, index: usize) {
        self.with_calls(|calls| {
            let call = &mut calls[index];
            call.ended_at = Some(Instant::now());
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            call.stream.write_all(response).unwrap();
        });
    }

    /// Waits until this many calls have begun, and returns the node that made the last of them.
    async fn wait_for_calls(&self, fleet: &TestFleet, count: usize) -> usize {
        fleet
            .wait_until("a call at the resource", async |_| {
                self.call_count() >= count
            })
            .await
            .unwrap();
        let holder = self.with_calls(|calls| calls[count - 1].holder.clone());
        holder[1..].parse().unwrap()
    }

    /// Asserts that no call began while an earlier one was in progress.
    fn assert_one_at_a_time(&self) {
        self.with_calls(|calls| {
            for pair in calls.windows(2) {
                let [earlier, later] = pair else { continue };
                let ended_at = earlier.ended_at.expect("the earlier call has not ended");
                assert!(
                    later.began_at >= ended_at,
                    "{} called {:?} before the end of the call of {}",
                    later.holder,
                    ended_at - later.began_at,
                    earlier.holder
                );
            }
        });
    }
}

/// Records a call, and when its holder closes the connection.
fn record_call(stream: &TcpStream, calls: &Mutex<Vec<Call>>) {
    let mut reader = BufReader::new(stream);
    let Some(call) = Message::read_head(&mut reader) else {
        return;
    };
    let index = {
        let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(Call {
            holder: call.header("x-lease-holder").unwrap().to_owned(),
            began_at: Instant::now(),
            ended_at: None,
            stream: stream.try_clone().unwrap(),
        });
        calls.len() - 1
    };
    let _ = reader.read_to_end(&mut Vec::new());
    let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
    calls[index].ended_at.get_or_insert_with(Instant::now);
}

/// Starts nodes that call the resource under a lease; the timeout of a call is longer than the lease lasts without a renewal.
/// Returns them with the holder, whose call is in progress.
async fn start_with_call(resource: &HeldResource, call_timeout: Duration) -> (TestFleet, usize) {
    let spec = FleetSpec {
        node_count: KEEPER_COUNT,
        server_count: 2,
        service_settings: SHORT_SLOW_START.to_owned(),
        fleet_settings: Some(format!(
            "[fleet.leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\nfolder = \"{{folder}}\"\nlength = \"1s\"\n\
             [[fleet.leases.call]]\nname = \"{LEASE}\"\naddress = \"{}\"\npath = \"/\"\nevery = \"{}ms\"\n",
            resource.address,
            call_timeout.as_millis()
        )),
        ..FleetSpec::default()
    };
    let fleet = fleets::start(spec).await;
    wait_until_keepers_vote(&fleet).await;
    let holder = resource.wait_for_calls(&fleet, 1).await;
    (fleet, holder)
}

/// Asserts that another node calls next.
async fn assert_another_calls(resource: &HeldResource, fleet: &TestFleet, holder: usize) {
    let next = resource.wait_for_calls(fleet, 2).await;
    assert_ne!(next, holder);
    resource.assert_one_at_a_time();
}

/// Whether a node has logged that it released the lease.
fn has_released(fleet: &TestFleet, node: usize) -> bool {
    let released = format!("lease {LEASE}: released, token");
    fleet.history.events().iter().any(|entry| {
        matches!(&entry.event, Event::Logged { node: by, line } if *by == node && line.contains(&released))
    })
}

/// Guards against two nodes that act at once, as a holder that is told to end gave its lease back during its call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_holder_keeps_its_lease_until_its_call_has_ended() {
    let _reservation = reserve_fleet().await;
    let resource = HeldResource::start();
    let (mut fleet, holder) = start_with_call(&resource, LONG_CALL_TIMEOUT).await;
    let from = fleet.history.len();
    fleet.request_termination(holder);
    run_for(CALL_SECONDS).await;
    assert_eq!(resource.call_count(), 1, "another node called meanwhile");
    assert!(!has_released(&fleet, holder));
    resource.answer(0);
    // The node gives the lease back before it ends, so the next one need not wait until the lease expires.
    fleet.wait_for_exit(holder, from).await.unwrap();
    assert!(has_released(&fleet, holder));
    assert_another_calls(&resource, &fleet, holder).await;
}

/// Guards against a shutdown that waits for the resource beyond the end of the process, and against a lease that is given back
/// there though the resource still works.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_holder_whose_call_is_never_answered_ends_in_time_with_its_lease() {
    let _reservation = reserve_fleet().await;
    let resource = HeldResource::start();
    let (mut fleet, holder) = start_with_call(&resource, LONG_CALL_TIMEOUT).await;
    let (from, terminated_at) = (fleet.history.len(), Instant::now());
    fleet.request_termination(holder);
    fleet.wait_for_exit(holder, from).await.unwrap();
    let ended_after = terminated_at.elapsed();
    assert!(ended_after < EXIT_TIMEOUT, "ended after {ended_after:?}");
    assert!(!has_released(&fleet, holder));
    assert_another_calls(&resource, &fleet, holder).await;
}

/// Guards against two nodes that act at once, as an operator released the lease of a holder during its call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn released_lease_is_kept_until_its_call_has_ended() {
    let _reservation = reserve_fleet().await;
    let resource = HeldResource::start();
    let (fleet, holder) = start_with_call(&resource, LONG_CALL_TIMEOUT).await;
    let path = format!("/-/fleet/leases/{LEASE}/release?why=test");
    let response = fleet.call_management(holder, "POST", &path).await.unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    run_for(CALL_SECONDS).await;
    assert_eq!(resource.call_count(), 1, "another node called meanwhile");
    resource.answer(0);
    assert_another_calls(&resource, &fleet, holder).await;
    fleet
        .wait_until("the release", async |fleet| has_released(fleet, holder))
        .await
        .unwrap();
}

/// Guards against a node that leaves its fleet, and can't renew its lease any more, while it forwards a long answer after the time
/// of its shutdown and its call is in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_is_kept_while_a_long_answer_outlasts_the_shutdown() {
    const ANSWER_LEN: usize = 20_000_000;
    /// The process would end 2.6 s after SIGTERM without the answer, and the lease expire 1 s later.
    const CALL_SECONDS_PAST_THE_END: f64 = 4.2;
    let _reservation = reserve_fleet().await;
    let resource = HeldResource::start();
    let (mut fleet, holder) = start_with_call(&resource, LONG_CALL_TIMEOUT).await;
    for server in &fleet.servers {
        server.update_behavior(|behavior| behavior.padding_len = ANSWER_LEN);
    }
    let mut client = TcpStream::connect(fleet.address(holder).unwrap()).unwrap();
    client
        .write_all(
            b"GET /api HTTP/1.1\r\nhost: evaluate.example.org\r\nx-correlation-id: long\r\n\r\n",
        )
        .unwrap();
    client.peek(&mut [0]).unwrap();
    let from = fleet.history.len();
    fleet.request_termination(holder);
    run_for(CALL_SECONDS_PAST_THE_END).await;
    assert_eq!(resource.call_count(), 1, "another node called meanwhile");
    resource.answer(0);
    assert_another_calls(&resource, &fleet, holder).await;
    let mut answer = Vec::new();
    client.set_read_timeout(Some(EXIT_TIMEOUT)).unwrap();
    let _ = client.read_to_end(&mut answer);
    assert!(answer.len() > ANSWER_LEN, "the answer was cut off");
    fleet.wait_for_exit(holder, from).await.unwrap();
    assert!(has_released(&fleet, holder));
}

/// A call that times out during the shutdown has ended: its connection is closed, and the lease given back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lease_is_released_when_its_call_times_out_during_the_shutdown() {
    const CALL_TIMEOUT: Duration = Duration::from_millis(1800);
    let _reservation = reserve_fleet().await;
    let resource = HeldResource::start();
    let (mut fleet, holder) = start_with_call(&resource, CALL_TIMEOUT).await;
    let from = fleet.history.len();
    fleet.request_termination(holder);
    fleet.wait_for_exit(holder, from).await.unwrap();
    assert!(has_released(&fleet, holder));
    assert_another_calls(&resource, &fleet, holder).await;
}
