//! The earliest end of an upload, and its deadline, in virtual time.

use super::{
    UploadClock, UploadProgress, MAX_CLIENT_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES, SAMPLE_BYTES,
};
use crate::net::body::STALL_TIMEOUT;
use crate::net::message::ClientInput;
use std::time::{Duration, Instant};

const TIME_FOR_ANSWER: Duration = Duration::from_millis(600);
const SECOND: Duration = Duration::from_secs(1);
/// The slowest rate of a body, in bytes a second.
const SLOWEST_RATE: u64 = 64_000;

/// An upload whose clock is updated at chosen moments.
struct Upload {
    clock: UploadClock,
    start: Instant,
    /// The announced size, in bytes.
    size: Option<u64>,
    unread: Option<u64>,
    forwarded: u64,
    progressed_at: Instant,
}

impl Upload {
    fn new(size: Option<u64>) -> Upload {
        let start = Instant::now();
        Upload {
            clock: UploadClock::new(start, TIME_FOR_ANSWER),
            start,
            size,
            unread: Some(0),
            forwarded: 0,
            progressed_at: start,
        }
    }

    /// Updates the clock this long after the start.
    fn update(&mut self, after: Duration, forwarded: u64, input: ClientInput) {
        if forwarded > self.forwarded {
            self.forwarded = forwarded;
            self.progressed_at = self.start + after;
        }
        let progress = UploadProgress {
            progressed_at: self.progressed_at,
            bytes_forwarded: forwarded,
            bytes_remaining: self.size.map(|size| size - forwarded),
            input,
        };
        let unread = self.unread;
        self.clock.update(self.start + after, progress, || unread);
    }

    /// When the upload has to end at the latest, since its start.
    fn deadline(&self) -> Option<Duration> {
        self.clock.deadline().map(|deadline| deadline - self.start)
    }
}

const NOT_AWAITED: ClientInput = ClientInput {
    is_awaited: false,
    awaited_until: None,
};

#[test]
fn time_of_a_body_that_fits_into_the_buffers_runs_from_the_start_whatever_the_server_takes() {
    for size in [Some(MAX_CLIENT_BUFFER_BYTES), None] {
        let mut upload = Upload::new(size);
        for step in 0..10 {
            upload.update(SECOND / 20 * step, u64::from(step) * 10_000, NOT_AWAITED);
            assert_eq!(upload.deadline(), Some(TIME_FOR_ANSWER));
        }
    }
}

/// Guards against: a client whose system held one segment more than its send buffer's size got its answer after 10 s.
#[test]
fn time_runs_while_the_clients_system_holds_a_segment_more_than_its_send_buffer() {
    const HELD_BYTES: u64 = (4 << 20) + (64 << 10);
    let mut upload = Upload::new(Some(HELD_BYTES + 300_000));
    upload.unread = Some(100_000);
    upload.update(SECOND / 20, 200_000, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(TIME_FOR_ANSWER));
}

#[test]
fn time_does_not_run_while_the_client_is_awaited_and_begins_anew_afterwards() {
    let mut upload = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES));
    for second in 1..20_u32 {
        let moment = SECOND * second;
        let mut input = ClientInput {
            is_awaited: true,
            awaited_until: None,
        };
        upload.update(moment, u64::from(second) * SLOWEST_RATE, input);
        assert_eq!(upload.deadline(), None);
        input.is_awaited = false;
        input.awaited_until = Some(upload.start + moment);
        upload.update(moment, u64::from(second) * SLOWEST_RATE, input);
        assert_eq!(upload.deadline(), Some(moment + TIME_FOR_ANSWER));
    }
}

#[test]
fn time_begins_once_the_rest_of_an_announced_body_fits_into_the_buffers() {
    let size = 32 << 20;
    let fits_at = size - MAX_CLIENT_BUFFER_BYTES;
    let mut upload = Upload::new(Some(size));
    upload.update(SECOND, 1, NOT_AWAITED);
    assert!(!upload.clock.can_have_ended);
    assert_eq!(upload.deadline(), Some(SECOND + STALL_TIMEOUT));
    upload.update(SECOND * 2, fits_at - 1, NOT_AWAITED);
    assert!(!upload.clock.can_have_ended);
    upload.update(SECOND * 3, fits_at, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(SECOND * 2 + TIME_FOR_ANSWER));
}

#[test]
fn unread_input_makes_room_in_the_buffers_and_unknown_input_as_much_as_there_can_be() {
    let mut upload = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES + 1_000));
    upload.update(SECOND, 0, NOT_AWAITED);
    assert!(!upload.clock.can_have_ended);
    // The client writes on, which nothing reports.
    upload.unread = Some(1_000);
    upload.update(SECOND * 2, 0, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(SECOND + TIME_FOR_ANSWER));
    for (rest, is_uncertain) in [(0, false), (1, true)] {
        let size = MAX_CLIENT_BUFFER_BYTES + MAX_RECEIVE_BUFFER_BYTES + rest;
        let mut upload = Upload::new(Some(size));
        upload.unread = None;
        upload.update(SECOND, 0, NOT_AWAITED);
        assert_eq!(upload.clock.can_have_ended, !is_uncertain);
    }
}

/// Guards against: the time of a chunked body began anew with every 4 MiB that its server took, though its client had written the
/// last byte before.
#[test]
fn time_of_a_chunked_body_begins_with_its_last_byte_whatever_its_length() {
    const RATE: u64 = 8 << 20;
    const STEP: Duration = Duration::from_millis(50);
    let moment_of = |bytes: u64| Duration::from_secs_f64(bytes as f64 / RATE as f64);
    for mib in 9..30 {
        let size = mib << 20;
        let mut upload = Upload::new(None);
        let written_at = moment_of(size - MAX_CLIENT_BUFFER_BYTES);
        let mut moment = Duration::ZERO;
        while moment < moment_of(size) {
            let forwarded = (moment.as_secs_f64() * RATE as f64) as u64;
            upload.update(moment, forwarded, NOT_AWAITED);
            moment += STEP;
        }
        upload.update(moment_of(size), size, NOT_AWAITED);
        let time = upload.deadline().expect("a deadline") - TIME_FOR_ANSWER;
        assert!(
            time <= written_at && written_at <= time + 2 * STEP,
            "{mib} MiB: {time:?} instead of {written_at:?}"
        );
    }
}

#[test]
fn time_of_a_chunked_body_runs_on_while_its_server_takes_no_more_than_the_buffers_hold() {
    let mut upload = Upload::new(None);
    upload.update(SECOND, MAX_CLIENT_BUFFER_BYTES, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(TIME_FOR_ANSWER));
    upload.update(SECOND * 2, MAX_CLIENT_BUFFER_BYTES + 1, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(TIME_FOR_ANSWER));
    upload.update(SECOND * 3, 2 * MAX_CLIENT_BUFFER_BYTES + 1, NOT_AWAITED);
    assert_eq!(upload.deadline(), Some(SECOND + TIME_FOR_ANSWER));
}

#[test]
fn arrival_of_a_body_is_kept_in_few_samples() {
    // Two samples at most are less than the least difference apart.
    let max_samples = 2 * (MAX_CLIENT_BUFFER_BYTES / SAMPLE_BYTES) + 3;
    for step_bytes in [10, 10_000, SAMPLE_BYTES / 2 + 1, SAMPLE_BYTES] {
        let mut upload = Upload::new(None);
        for step in 0..20_000_u32 {
            upload.update(SECOND * step, u64::from(step) * step_bytes, NOT_AWAITED);
        }
        let samples = upload.clock.arrival.samples.len() as u64;
        assert!(samples <= max_samples, "{step_bytes}: {samples}");
    }
}

#[test]
fn server_has_stalled_if_it_took_nothing_for_half_of_the_clients_time() {
    let mut upload = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES));
    upload.update(SECOND, 1, NOT_AWAITED);
    upload.update(SECOND * 2, 1, NOT_AWAITED);
    let taken_at = upload.start + SECOND;
    let is_stalled = |after| upload.clock.has_server_stalled(taken_at + after);
    assert!(!is_stalled(TIME_FOR_ANSWER / 2 - Duration::from_millis(1)));
    assert!(is_stalled(TIME_FOR_ANSWER / 2));
}

#[test]
fn clock_is_updated_again_before_an_answer_can_be_due_and_soon_while_much_is_to_come() {
    let mut awaited = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES));
    let input = ClientInput {
        is_awaited: true,
        awaited_until: None,
    };
    awaited.update(SECOND, 1, input);
    let now = awaited.start + SECOND;
    assert_eq!(awaited.clock.next_update(now), now + TIME_FOR_ANSWER);
    let mut uncertain = Upload::new(Some(32 << 20));
    uncertain.update(SECOND, 1, NOT_AWAITED);
    let now = uncertain.start + SECOND;
    assert!(uncertain.clock.next_update(now) < now + TIME_FOR_ANSWER / 2);
    let mut buffered = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES));
    buffered.update(SECOND / 10, 1, NOT_AWAITED);
    let deadline = buffered.start + TIME_FOR_ANSWER;
    assert_eq!(buffered.clock.next_update(buffered.start), deadline);
}

/// Guards against: a server was told all of the client's time though a part of it may have been over.
#[test]
fn client_has_what_is_left_since_it_may_have_written_the_last_byte() {
    let nothing_awaited = ClientInput::default();
    let mut small = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES));
    small.update(SECOND / 2, 0, nothing_awaited);
    assert_eq!(
        small.clock.client_deadline(),
        Some(small.start + TIME_FOR_ANSWER)
    );
    let mut large = Upload::new(Some(MAX_CLIENT_BUFFER_BYTES + 1));
    large.update(SECOND / 2, 0, nothing_awaited);
    assert_eq!(large.clock.client_deadline(), None);
    let awaited = ClientInput {
        is_awaited: true,
        awaited_until: None,
    };
    small.update(SECOND / 2, 0, awaited);
    assert_eq!(small.clock.client_deadline(), None);
}
