use super::super::{ClaimError, IdDigest, RETENTION};
use super::{LinkState, PeerIds, PeerLink, STUCK_TIMEOUT};
use std::os::unix::net::UnixStream;
use std::time::Instant;

fn id(text: &str) -> IdDigest {
    IdDigest::of(text.as_bytes())
}

/// Two processes, of which the first has claimed an id before they are linked.
fn linked(claimed: &[IdDigest]) -> (PeerIds, PeerIds) {
    let (first_end, second_end) = UnixStream::pair().expect("a pair");
    let (mut first, mut second) = (PeerIds::default(), PeerIds::default());
    let now = Instant::now();
    second.add(PeerLink::new(second_end).expect("a link"), &[], now);
    assert_eq!(second.state(), LinkState::Synchronizing);
    first.add(PeerLink::new(first_end).expect("a link"), claimed, now);
    second.receive(now);
    assert_eq!(second.state(), LinkState::Synchronized);
    (first, second)
}

#[test]
fn id_is_claimed_by_one_process_until_it_is_released() {
    let now = Instant::now();
    let (mut first, mut second) = linked(&[id("early")]);
    assert_eq!(second.claim(id("early"), now), Err(ClaimError::InUse));
    assert_eq!(first.claim(id("a"), now), Ok(()));
    assert_eq!(second.claim(id("a"), now), Err(ClaimError::InUse));
    assert_eq!(second.claim(id("b"), now), Ok(()));
    assert_eq!(first.claim(id("b"), now), Err(ClaimError::InUse));
    first.release(&[id("a"), id("early")], now);
    assert_eq!(second.claim(id("a"), now), Ok(()));
    assert_eq!(second.claim(id("early"), now), Ok(()));
}

/// Guards against two processes that claim an id at the same time and both send its request.
#[test]
fn at_most_one_of_two_simultaneous_claims_succeeds() {
    let now = Instant::now();
    let (mut first, mut second) = linked(&[]);
    let claims = [first.claim(id("a"), now), second.claim(id("a"), now)];
    assert_eq!(claims, [Ok(()), Err(ClaimError::InUse)]);
}

/// Guards against ids that are forgotten with the process that has sent their requests.
#[test]
fn claims_of_a_process_that_has_ended_are_kept_for_a_while() {
    let now = Instant::now();
    let (mut first, mut second) = linked(&[]);
    assert_eq!(first.claim(id("a"), now), Ok(()));
    drop(first);
    assert_eq!(second.claim(id("a"), now), Err(ClaimError::InUse));
    assert_eq!(second.claim(id("a"), now + RETENTION), Ok(()));
}

/// Guards against a peer that is stopped: it must neither hold up unsafe requests nor make records pile up.
#[test]
fn peer_that_does_not_read_is_given_up() {
    let start = Instant::now();
    let (mut first, _second) = linked(&[]);
    let claim = |first: &mut PeerIds, number: usize, now| first.claim(id(&number.to_string()), now);
    let refused = (0..1_000_000).find(|number| claim(&mut first, *number, start).is_err());
    let refused = refused.expect("the socket holds a limited number of records");
    let almost = start + STUCK_TIMEOUT / 2;
    assert_eq!(claim(&mut first, refused, almost), Err(ClaimError::Full));
    let stuck = start + STUCK_TIMEOUT;
    assert_eq!(claim(&mut first, refused, stuck), Ok(()));
    assert!(
        first.links.is_empty(),
        "nothing is kept for a peer without claims"
    );
}
