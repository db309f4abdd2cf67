use super::super::{IdDigest, MAX_RETAINED_IDS, MIN_RETENTION, RETENTION};
use super::RetainedIds;
use std::time::{Duration, Instant};

fn id(number: usize) -> IdDigest {
    IdDigest::of(number.to_string().as_bytes())
}

#[test]
fn ids_are_forgotten_in_the_order_of_their_ends() {
    let (mut retained, start) = (RetainedIds::default(), Instant::now());
    retained.insert(id(1), start);
    retained.insert(id(2), start + Duration::from_secs(1));
    let almost = start + RETENTION - Duration::from_millis(1);
    assert_eq!(retained.expire(almost), []);
    assert_eq!(retained.expire(start + RETENTION), [id(1)]);
    assert!(!retained.contains(&id(1)) && retained.contains(&id(2)));
    assert_eq!(retained.ids().collect::<Vec<_>>(), [id(2)]);
}

/// Guards against memory that grows with each request, and against a flood that makes recent ids be forgotten.
#[test]
fn ids_are_bounded_and_recent_ones_are_kept() {
    let (mut retained, start) = (RetainedIds::default(), Instant::now());
    for number in 0..MAX_RETAINED_IDS {
        assert!(!retained.is_full(start));
        retained.insert(id(number), start);
    }
    assert!(retained.is_full(start) && retained.expire(start).is_empty());
    assert_eq!(retained.expire(start + MIN_RETENTION), [id(0)]);
    assert!(!retained.is_full(start + MIN_RETENTION));
}
