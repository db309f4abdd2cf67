//! The token bucket of a rate limit.

use crate::rate_limit;
use reelfall_routing::rate::TokenBucket;

#[test]
fn rate_limit_admits_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(0.0, rate_limit(10.0, 5.0));
    let burst = (0..20).filter(|_| bucket.take(0.0).is_ok()).count();
    assert_eq!(burst, 5);
    let retry_after = bucket.take(0.0).unwrap_err().retry_after;
    assert!((retry_after - 0.1).abs() < 1e-9, "{retry_after}");
    let admitted = (0..1000)
        .filter(|step| bucket.take(f64::from(*step) * 0.01).is_ok())
        .count();
    assert!((99..=100).contains(&admitted), "{admitted} in ten seconds");
}

#[test]
fn clock_that_goes_back_adds_no_tokens() {
    let mut bucket = TokenBucket::new(100.0, rate_limit(10.0, 1.0));
    assert!(bucket.take(100.0).is_ok());
    let admitted = (0..100)
        .filter(|step| {
            let now = if step % 2 == 0 { 99.0 } else { 100.05 };
            bucket.take(now).is_ok()
        })
        .count();
    assert_eq!(admitted, 0);
}
