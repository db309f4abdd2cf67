//! When answers are forwarded and have to end, in virtual time.

use super::{
    AnswerClock, AnswerLength, MAX_BUFFERING_TIME, MAX_LATENESS, MAX_SILENCE, MAX_UNDECIDED_TIME,
    MIN_UNDECIDED_RATE,
};
use crate::net::body::STALL_TIMEOUT;
use crate::net::MAX_UNSTREAMED_RESPONSE_BYTES;
use std::time::{Duration, Instant};

const CLIENT_TIME: Duration = Duration::from_millis(550);
const SECOND: Duration = Duration::from_secs(1);

/// An answer whose head came at its start, with the client's time from then on.
fn clock(start: Instant, announced_bytes: Option<u64>) -> AnswerClock {
    let mut clock = AnswerClock::new(start, announced_bytes);
    clock.set_deadline(Some(start + CLIENT_TIME));
    clock
}

#[test]
fn length_is_known_by_the_head_or_by_what_was_received() {
    let start = Instant::now();
    let most = MAX_UNSTREAMED_RESPONSE_BYTES;
    assert_eq!(
        clock(start, Some(most as u64)).length(),
        AnswerLength::Short
    );
    assert_eq!(
        clock(start, Some(most as u64 + 1)).length(),
        AnswerLength::Long
    );
    let mut unknown = clock(start, None);
    unknown.record_part(start, most);
    assert_eq!(unknown.length(), AnswerLength::Unknown);
    unknown.record_part(start, 1);
    assert_eq!(unknown.length(), AnswerLength::Long);
}

#[test]
fn start_of_an_answer_is_held_back_for_less_than_its_client_allows() {
    let start = Instant::now();
    let mut unknown = clock(start, None);
    assert_eq!(unknown.forward_by(), None, "nothing is buffered");
    unknown.record_part(start + SECOND, 1);
    unknown.record_part(start + 2 * SECOND, 1);
    assert_eq!(
        unknown.forward_by(),
        Some(start + SECOND + MAX_BUFFERING_TIME)
    );
    let mut short = clock(start, Some(2));
    short.record_part(start, 1);
    assert_eq!(short.forward_by(), None);
}

#[test]
fn answer_of_unknown_length_ends_when_its_server_is_silent() {
    let start = Instant::now();
    let mut unknown = clock(start, None);
    assert_eq!(unknown.ends_at(), start + MAX_SILENCE);
    unknown.record_part(start + 3 * SECOND, 1);
    assert_eq!(unknown.ends_at(), start + 3 * SECOND + MAX_SILENCE);
    unknown.record_part(start + 4 * SECOND, MAX_UNSTREAMED_RESPONSE_BYTES);
    assert_eq!(unknown.ends_at(), start + 4 * SECOND + STALL_TIMEOUT);
}

#[test]
fn overdue_answer_ends_if_it_only_trickles() {
    let start = Instant::now();
    let millisecond = Duration::from_millis(1);
    let last_moment = start + CLIENT_TIME + MAX_UNDECIDED_TIME;
    let mut unknown = clock(start, None);
    unknown.record_part(last_moment - SECOND, 1);
    assert!(unknown.ends_at() < last_moment + millisecond);
    unknown.record_part(last_moment - SECOND, MIN_UNDECIDED_RATE as usize);
    assert!(unknown.ends_at() >= last_moment + SECOND);
    unknown.record_part(last_moment - SECOND, MAX_UNSTREAMED_RESPONSE_BYTES);
    assert_eq!(unknown.ends_at(), last_moment - SECOND + STALL_TIMEOUT);
}

/// Guards against: a sound answer was cut off as its server had paused often before 64 KiB of it had come.
#[test]
fn overdue_answer_may_pause_after_each_part() {
    const PART_BYTES: usize = 9_000;
    let pause = Duration::from_millis(1500);
    let start = Instant::now();
    let mut unknown = clock(start, None);
    for number in 1..=MAX_UNSTREAMED_RESPONSE_BYTES / PART_BYTES {
        let now = start + pause * number as u32;
        assert!(unknown.ends_at() > now, "after {number} pauses");
        unknown.record_part(now, PART_BYTES);
    }
}

#[test]
fn server_may_be_silent_while_its_client_has_time() {
    let start = Instant::now();
    let mut unknown = AnswerClock::new(start, None);
    unknown.record_part(start, 1);
    unknown.set_deadline(Some(start + 60 * SECOND));
    assert_eq!(unknown.ends_at(), start + 60 * SECOND + MAX_LATENESS);
    unknown.set_deadline(None);
    assert_eq!(unknown.ends_at(), start + STALL_TIMEOUT);
    let mut long = AnswerClock::new(start, Some(1 << 20));
    long.set_deadline(Some(start + 60 * SECOND));
    assert_eq!(long.ends_at(), start + 60 * SECOND);
}

#[test]
fn short_answer_is_lost_half_a_second_after_its_time() {
    let start = Instant::now();
    let last_moment = start + CLIENT_TIME + MAX_LATENESS;
    let unknown = clock(start, None);
    assert!(!unknown.is_late(last_moment));
    assert!(unknown.is_late(last_moment + Duration::from_millis(1)));
    assert_eq!(clock(start, Some(2)).ends_at(), last_moment);
    assert!(!clock(start, Some(1 << 20)).is_late(last_moment + SECOND));
}

/// Guards against: an answer that was complete just in time was lost as the process was held up before it wrote the end.
#[test]
fn answer_that_is_not_late_is_not_lost_though_the_process_is_held_up() {
    /// The page counts this long after the client's time, on sockets.
    const LOST_AFTER: Duration = Duration::from_millis(550);
    const HELD_UP: Duration = Duration::from_millis(150);
    let start = Instant::now();
    let lost_at = start + CLIENT_TIME + LOST_AFTER;
    assert!(clock(start, None).is_late(lost_at - HELD_UP + Duration::from_millis(1)));
}

#[test]
fn slow_client_makes_no_answer_late_or_silent() {
    let start = Instant::now();
    let mut unknown = clock(start, None);
    unknown.record_part(start, 1);
    unknown.record_client_wait(start + 5 * SECOND, 5 * SECOND);
    assert_eq!(unknown.ends_at(), start + 5 * SECOND + MAX_SILENCE);
    let last_moment = start + CLIENT_TIME + 5 * SECOND + MAX_LATENESS;
    assert!(!unknown.is_late(last_moment));
    assert!(unknown.is_late(last_moment + Duration::from_millis(1)));
}
