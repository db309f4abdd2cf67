//! Admission of the requests of several services.

use crate::{quota, rate_limit};
use reelfall_routing::budget::{Quota, QuotaExceeded};
use reelfall_routing::limits::{
    AdmissionControl, LimitExceeded, ProcessResources, Resource, ServiceLimits,
};

#[test]
fn rejected_request_consumes_nothing() {
    let totals = ProcessResources {
        open_requests: 10,
        connections: 10,
        memory_kib: 10,
    };
    let service_limits = ServiceLimits {
        rate: Some(rate_limit(1.0, 2.0)),
        open_requests: quota(0, 3),
        ..ServiceLimits::UNLIMITED
    };
    let mut limits = AdmissionControl::new(totals);
    let service = limits.add_service(0.0, &service_limits);
    assert_eq!(limits.admit(0.0, service), Ok(()));
    assert_eq!(limits.admit(0.0, service), Ok(()));
    assert!(matches!(
        limits.admit(0.0, service),
        Err(LimitExceeded::RateExceeded(retry_after)) if (retry_after - 1.0).abs() < 1e-9
    ));
    assert_eq!(
        limits.used(service, Resource::OpenRequests),
        2,
        "a rejected request is counted as open"
    );
    assert_eq!(limits.admit(1.0, service), Ok(()));
    // A request over the limit of open requests takes no token from the rate limiter.
    assert_eq!(
        limits.admit(2.0, service),
        Err(LimitExceeded::NotAvailable(
            Resource::OpenRequests,
            QuotaExceeded::OwnLimit
        ))
    );
    limits.release(service, Resource::OpenRequests, 1);
    assert_eq!(limits.admit(2.0, service), Ok(()));
}

#[test]
fn overload_of_one_service_leaves_the_reservation_of_another() {
    let totals = ProcessResources {
        open_requests: 100,
        connections: 100,
        memory_kib: 1000,
    };
    let mut limits = AdmissionControl::new(totals);
    let overloaded = limits.add_service(
        0.0,
        &ServiceLimits {
            open_requests: Quota {
                reserved: 40,
                max: 80,
                weight: 3,
            },
            ..ServiceLimits::UNLIMITED
        },
    );
    let other = limits.add_service(
        0.0,
        &ServiceLimits {
            open_requests: quota(20, 40),
            ..ServiceLimits::UNLIMITED
        },
    );
    let mut admitted = |service, requests: u32| {
        (0..requests)
            .filter(|_| limits.admit(0.0, service).is_ok())
            .count()
    };
    assert_eq!(admitted(overloaded, 400), 80);
    assert_eq!(admitted(other, 25), 20);
}
