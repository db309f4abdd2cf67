//! The checker of the soak on hand-written records: what is a finding and what is not.

use reelfall_testbed::soak::checker::{check, CheckResult, CloseRace, Finding, ProcessEnd, Rule};
use reelfall_testbed::soak::plan::{EndingsPlan, ServerFault, SignalTime};
use reelfall_testbed::soak::process::has_crashed;
use reelfall_testbed::soak::record::{
    Record, RequestEnd, RequestRecord, ServerEvent, ServerRecord,
};
use reelfall_testbed::soak::stalls::Stall;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

/// A seed whose signals come under load, without exhausted connections.
const SEED: u64 = 4;
const DEADLINE: Duration = Duration::from_secs(2);
/// When the faults start and SIGTERM is sent.
const TERMINATED_AT: Duration = Duration::from_secs(10);
const MILLISECOND: Duration = Duration::from_millis(1);

/// A plan in which the first of four servers hangs and the others have no fault.
fn plan() -> EndingsPlan {
    EndingsPlan {
        signal_time: SignalTime::UnderLoad(TERMINATED_AT),
        exhausts_connections: false,
        deadline: DEADLINE,
        servers: vec![
            ServerFault::Hangs,
            ServerFault::None,
            ServerFault::None,
            ServerFault::None,
        ],
        ..EndingsPlan::from_seed(SEED)
    }
}

fn end() -> ProcessEnd {
    ProcessEnd {
        faults_started_at: TERMINATED_AT,
        terminated_at: TERMINATED_AT,
        exited_at: Some(TERMINATED_AT + DEADLINE),
        has_crashed: false,
        killed_at: TERMINATED_AT + DEADLINE + 700 * MILLISECOND,
        drain_announced_at: None,
    }
}

fn request(id: &str, at: Duration, took: Duration, end: RequestEnd) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        at_most_once: false,
        client: id.to_owned(),
        connection: 1,
        written_at: at,
        ended_at: at + took,
        end,
        failure_text: None,
    }
}

fn answered(status: u16) -> RequestEnd {
    RequestEnd::Answered {
        status,
        is_own: true,
    }
}

/// One safe and one at-most-once request that were served before the faults.
fn served() -> Vec<RequestRecord> {
    let at = Duration::from_secs(1);
    let safe = request("safe", at, MILLISECOND, answered(200));
    let unsafe_request = RequestRecord {
        at_most_once: true,
        ..request("unsafe", at, MILLISECOND, answered(200))
    };
    vec![safe, unsafe_request]
}

fn event(id: &str, server: usize, kind: ServerEvent, at: Duration) -> ServerRecord {
    ServerRecord {
        server,
        id: id.to_owned(),
        event: kind,
        at,
    }
}

/// Checks a record of these requests and the [`served`] ones.
fn check_requests(
    plan: &EndingsPlan,
    requests: Vec<RequestRecord>,
    events: Vec<ServerRecord>,
    stalls: &[Stall],
) -> CheckResult {
    let mut all = served();
    all.extend(requests);
    check(plan, &Record::of(all, events), &end(), stalls)
}

fn rules(check_result: &CheckResult) -> Vec<Rule> {
    let rule = |finding: &Finding| finding.rule;
    check_result.findings.iter().map(rule).collect()
}

/// A time soon after SIGTERM, long before the process exits.
const LATER: Duration = Duration::from_millis(10_100);

#[test]
fn load_that_is_served_has_no_findings() {
    let check_result = check_requests(&plan(), Vec::new(), Vec::new(), &[]);
    assert_eq!(rules(&check_result), []);
    assert_eq!(check_result.load.requests, 2);
    assert_eq!(check_result.load.statuses, [(200, 2)].into());
}

/// Guards against runs that pass because no request reached a server.
#[test]
fn load_that_is_not_served_before_the_faults_is_a_finding() {
    let at = Duration::from_secs(1);
    let refused = |status| vec![request("other", at, MILLISECOND, answered(status))];
    let check_result = check_requests(&plan(), refused(503), Vec::new(), &[]);
    assert_eq!(rules(&check_result), [Rule::LoadServed]);
    let check_result = check_requests(&plan(), refused(400), Vec::new(), &[]);
    assert_eq!(rules(&check_result), [Rule::ValidRequest, Rule::LoadServed]);
    // No at-most-once request has an answer.
    let only_safe = served().into_iter().filter(|request| !request.at_most_once);
    let record = Record::of(only_safe.collect(), Vec::new());
    assert_eq!(
        rules(&check(&plan(), &record, &end(), &[])),
        [Rule::LoadServed]
    );
}

/// Guards against a process that answers all pending requests as timed out when it gets SIGTERM.
#[test]
fn request_with_time_left_must_not_time_out() {
    let timed_out = |at, took| vec![request("r", at, took, answered(504))];
    let check_timeout = |at, took| {
        rules(&check_requests(
            &plan(),
            timed_out(at, took),
            Vec::new(),
            &[],
        ))
    };
    assert_eq!(
        check_timeout(LATER, 50 * MILLISECOND),
        [Rule::NotTimedOutEarly]
    );
    assert_eq!(
        check_timeout(LATER, 1850 * MILLISECOND),
        [Rule::NotTimedOutEarly]
    );
    assert_eq!(check_timeout(LATER, 1950 * MILLISECOND), []);
    // The last answers of the process come 0.45 s after the longest deadline that follows SIGTERM.
    let last_answers_at = TERMINATED_AT + DEADLINE + 450 * MILLISECOND;
    assert_eq!(
        check_timeout(last_answers_at - 1000 * MILLISECOND, 1000 * MILLISECOND),
        []
    );
    assert_eq!(
        check_timeout(last_answers_at - 1000 * MILLISECOND, 800 * MILLISECOND),
        [Rule::NotTimedOutEarly]
    );
}

#[test]
fn request_processed_by_a_healthy_server_must_get_its_answer() {
    let check_failure = |status, server, processed_at| {
        let failed = vec![request("r", LATER, 500 * MILLISECOND, answered(status))];
        let processed = vec![event("r", server, ServerEvent::Executed, processed_at)];
        rules(&check_requests(&plan(), failed, processed, &[]))
    };
    let processed_at = LATER + 4 * MILLISECOND;
    for status in [500, 502, 503] {
        assert_eq!(
            check_failure(status, 1, processed_at),
            [Rule::ServersAnswer]
        );
        assert_eq!(check_failure(status, 0, processed_at), [], "a server hangs");
    }
    assert_eq!(check_failure(200, 1, processed_at), []);
    let too_late = LATER + DEADLINE - 50 * MILLISECOND;
    assert_eq!(check_failure(502, 1, too_late), []);
}

#[test]
fn refused_request_must_not_have_had_its_effect() {
    let check_refusal = |status, at_most_once| {
        let refused = RequestRecord {
            at_most_once,
            ..request("r", LATER, 500 * MILLISECOND, answered(status))
        };
        let processed = vec![event("r", 0, ServerEvent::Executed, LATER)];
        rules(&check_requests(&plan(), vec![refused], processed, &[]))
    };
    assert_eq!(check_refusal(503, true), [Rule::NoEffectOfRefused]);
    assert_eq!(check_refusal(429, true), [Rule::NoEffectOfRefused]);
    assert_eq!(check_refusal(503, false), []);
    assert_eq!(check_refusal(502, true), []);
}

const RESET: RequestEnd = RequestEnd::ConnectionEnded {
    was_reset: true,
    was_announced: false,
};

/// Three requests that were written at once, on one connection.
fn pipelined(ends: [RequestEnd; 3]) -> Vec<RequestRecord> {
    let to_request = |(index, end)| RequestRecord {
        client: "pipelining".to_owned(),
        ..request(&format!("p{index}"), LATER, 800 * MILLISECOND, end)
    };
    ends.into_iter().enumerate().map(to_request).collect()
}

/// Guards against findings about pipelined requests on a connection that the node never read from.
#[test]
fn connection_may_be_closed_unread_while_connections_are_exhausted() {
    let exhausted = EndingsPlan {
        exhausts_connections: true,
        ..plan()
    };
    let unread = check_requests(&exhausted, pipelined([RESET; 3]), Vec::new(), &[]);
    assert_eq!(rules(&unread), []);
    assert_eq!(unread.close_races, [(CloseRace::Unread, 3)].into());
    // If one of its requests has an answer or an attempt, the node has read from it and must answer all of them.
    let is_read = check_requests(
        &exhausted,
        pipelined([answered(200), RESET, RESET]),
        Vec::new(),
        &[],
    );
    assert_eq!(rules(&is_read), [Rule::NotClosedUnanswered; 2]);
    let attempt = vec![event("p1", 1, ServerEvent::Received, LATER)];
    let is_forwarded = check_requests(&exhausted, pipelined([RESET; 3]), attempt, &[]);
    let expected = [
        Rule::NotClosedUnanswered,
        Rule::Answered,
        Rule::NotClosedUnanswered,
    ];
    assert_eq!(rules(&is_forwarded), expected);
    // Without exhausted connections, none may be closed unread.
    let check_result = check_requests(&plan(), pipelined([RESET; 3]), Vec::new(), &[]);
    assert_eq!(rules(&check_result), [Rule::NotClosedUnanswered; 3]);
}

/// Guards against findings that are explained by stalls too short for them.
#[test]
fn stalls_explain_a_finding_only_if_they_are_as_long_as_the_overrun() {
    let took = DEADLINE + 800 * MILLISECOND;
    let overrun = 300 * MILLISECOND;
    let stall = |from, length| Stall {
        from,
        to: from + length,
    };
    let is_disturbed = |stalls: &[Stall]| {
        let late = vec![request("r", LATER, took, answered(200))];
        let check_result = check_requests(&plan(), late, Vec::new(), stalls);
        assert_eq!(rules(&check_result), [Rule::AnsweredInTime]);
        check_result.findings[0].disturbed_for.is_some()
    };
    assert!(!is_disturbed(&[]));
    assert!(!is_disturbed(&[stall(LATER, overrun - MILLISECOND)]));
    assert!(is_disturbed(&[stall(LATER, overrun)]));
    let half = overrun / 2;
    assert!(is_disturbed(&[
        stall(LATER, half),
        stall(LATER + took - half, half)
    ]));
    // Stalls before the request or after its end do not count.
    assert!(!is_disturbed(&[stall(LATER - half, overrun)]));
    assert!(!is_disturbed(&[stall(LATER + took, overrun)]));
    // No stall explains a missing answer.
    let lost = vec![request("r", LATER, took, RequestEnd::NoAnswer)];
    let check_result = check_requests(&plan(), lost, Vec::new(), &[stall(LATER, 2 * took)]);
    assert_eq!(rules(&check_result), [Rule::Answered]);
    assert_eq!(check_result.findings[0].disturbed_for, None);
}

/// Guards against a process that panics during its shutdown and is taken for one that exited in order.
#[test]
fn process_that_fails_has_crashed() {
    const SIGABRT: i32 = 6;
    const SIGTERM: i32 = 15;
    let exited = |code: i32| ExitStatus::from_raw(code << 8);
    assert!(!has_crashed(exited(0)));
    assert!(has_crashed(exited(101)));
    assert!(has_crashed(ExitStatus::from_raw(SIGABRT)));
    // SIGTERM may arrive before the process handles it.
    assert!(!has_crashed(ExitStatus::from_raw(SIGTERM)));
}
