//! Answers that stop, break or come too late.

use crate::nodes::start_node;
use crate::{send, TIME_LEFT};
use reelfall_testbed::slow_answers::{
    Class, Connection, End, Ending, Framing, Reception, Script, Servers, Version, MAX_LATENESS,
};
use reelfall_testbed::test_node::NodeKind;
use std::time::Duration;

/// A server that writes nothing more of an answer for this long has stopped: by then its client can't tell from what it gets
/// whether the node holds the rest back.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// An answer of which no more than some bytes come again and again has to end in this time after its client's.
const MAX_UNDECIDED: Duration = Duration::from_secs(5);

/// Sends requests of all classes for each script on a node of each kind, and checks each answer.
fn check_answers(scripts: &[Script], check: impl Fn(&Script, &str, &Reception) + Sync) {
    std::thread::scope(|scope| {
        for kind in NodeKind::ALL {
            for class in [Class::Safe, Class::Unsafe] {
                let check = &check;
                scope.spawn(move || {
                    let servers = Servers::start();
                    let node = start_node(kind, &servers);
                    for (number, script) in scripts.iter().enumerate() {
                        let id = format!("{kind:?}-{class:?}-{number}");
                        servers.plan(&id, script.clone());
                        let reception = send(node.address, class, &id);
                        check(script, &format!("{id} {:?}", script.framing), &reception);
                    }
                });
            }
        }
    });
}

/// Checks that a client was told in time that its request failed, or that an answer that had begun broke off.
fn check_failed(id: &str, reception: &Reception, end_by: Duration) {
    assert!(reception.is_head_in_time(), "{id}: {reception:?}");
    let is_failure = match reception.status {
        Some(200) => reception.end == End::Broken,
        Some(_) => reception.end == End::Whole && reception.is_end_in_time(),
        None => false,
    };
    assert!(is_failure, "{id}: {reception:?}");
    let waited = reception.ended_at - reception.sent_at;
    assert!(
        waited <= end_by + MAX_LATENESS,
        "{id}: ended after {waited:?}"
    );
}

/// Guards against: an answer of which no more came was kept open for as long as a sound one may pause, which no client awaits.
#[test]
fn answer_that_stops_ends_so_that_its_client_can_tell() {
    let scripts: Vec<Script> = [vec![20_000], vec![10_000, 20_000], vec![500], vec![]]
        .into_iter()
        .flat_map(|parts| {
            Framing::UNKNOWN_LENGTH.map(|framing| Script {
                framing,
                first_pause: Duration::ZERO,
                pause: Duration::from_millis(250),
                parts: parts.clone(),
                ending: Ending::Stops,
            })
        })
        .collect();
    check_answers(&scripts, |script, id, reception| {
        let written_for = script.pause * script.parts.len() as u32;
        check_failed(id, reception, TIME_LEFT.max(written_for + MAX_SILENCE));
    });
}

/// Guards against: an answer of which a little came again and again was kept open for as long as that went on.
#[test]
fn answer_that_trickles_without_end_ends_so_that_its_client_can_tell() {
    let scripts: Vec<Script> = Framing::UNKNOWN_LENGTH
        .map(|framing| Script {
            framing,
            first_pause: Duration::ZERO,
            pause: Duration::from_millis(900),
            parts: vec![100; 12],
            ending: Ending::Stops,
        })
        .into();
    check_answers(&scripts, |_, id, reception| {
        check_failed(id, reception, TIME_LEFT + MAX_UNDECIDED);
    });
}

/// Guards against: an answer that its server broke off looked whole, or its client was left without an end.
#[test]
fn answer_that_breaks_ends_so_that_its_client_can_tell() {
    let scripts: Vec<Script> = [vec![20_000, 20_000, 20_000, 20_000], vec![20_000], vec![]]
        .into_iter()
        .flat_map(|parts| {
            [Framing::Chunked, Framing::UntilClose].map(|framing| Script {
                framing,
                first_pause: Duration::from_millis(300),
                pause: Duration::from_millis(300),
                parts: parts.clone(),
                ending: Ending::Breaks,
            })
        })
        .collect();
    check_answers(&scripts, |script, id, reception| {
        let written_for = script.first_pause + script.pause * script.parts.len() as u32;
        check_failed(id, reception, TIME_LEFT.max(written_for));
    });
}

/// Guards against: an answer that broke off looked whole to a client that finds its end by that of the connection.
#[test]
fn answer_to_an_http_1_0_client_that_breaks_or_stops_does_not_look_whole() {
    for kind in NodeKind::ALL {
        let servers = Servers::start();
        let node = start_node(kind, &servers);
        for framing in Framing::UNKNOWN_LENGTH {
            for ending in [Ending::Stops, Ending::Breaks] {
                let script = Script {
                    framing,
                    first_pause: Duration::ZERO,
                    pause: Duration::from_millis(250),
                    parts: vec![20_000, 10_000],
                    ending,
                };
                let id = format!("{kind:?}-{framing:?}-{ending:?}");
                servers.plan(&id, script.clone());
                let mut connection = Connection::open_with(node.address, Version::Http10).unwrap();
                let reception = connection.exchange(Class::Unsafe, &id, TIME_LEFT);
                let written_for = script.pause * script.parts.len() as u32;
                check_failed(&id, &reception, written_for + MAX_SILENCE);
            }
        }
    }
}

/// Guards against: a short answer whose end came long after its client's time was passed on as a whole one, since its first
/// bytes had come in time. The pages time answers up to 64 KiB as a whole.
#[test]
fn short_answer_of_unknown_length_is_not_passed_on_whole_after_its_time() {
    let scripts: Vec<Script> = [vec![5; 20], vec![20_000, 20_000, 20_000], vec![60_000]]
        .into_iter()
        .flat_map(|parts| {
            Framing::UNKNOWN_LENGTH.map(|framing| Script {
                framing,
                first_pause: Duration::from_millis(100),
                pause: Duration::from_millis(2400 / parts.len() as u64),
                parts: parts.clone(),
                ending: Ending::Whole,
            })
        })
        .collect();
    check_answers(&scripts, |script, id, reception| {
        let written_for = script.first_pause + script.pause * script.parts.len() as u32;
        check_failed(id, reception, written_for.max(TIME_LEFT));
    });
}

/// Guards against: a short answer with a length that came too late was passed on late, or not failed in time.
#[test]
fn short_answer_with_a_length_fails_in_time() {
    let scripts = [vec![5; 20], vec![20_000, 20_000]].map(|parts| Script {
        framing: Framing::Announced,
        first_pause: Duration::from_millis(100),
        pause: Duration::from_millis(2400 / parts.len() as u64),
        parts,
        ending: Ending::Whole,
    });
    check_answers(&scripts, |_, id, reception| {
        assert!(
            reception.status != Some(200) && reception.is_end_in_time(),
            "{id}: {reception:?}"
        );
    });
}
