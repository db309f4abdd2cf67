//! The quotas of tenants: a token bucket per tenant, filled at this node's fraction of the quota.

use crate::interface::{Tenant, TenantId, Time};

/// Size of a bucket, in seconds of the node's fraction of the quota.
const BURST_SECONDS: f64 = 2.0;
/// Requests that a bucket holds in addition, as arrivals at a single node are uneven.
const BURST_REQUESTS: f64 = 3.0;

struct Bucket {
    /// Requests per second, over all nodes.
    quota: f64,
    /// `None` until the tenant's first request, when the bucket is full.
    tokens: Option<f64>,
    refilled_at: Time,
}

/// The quotas of all tenants.
pub(super) struct TenantQuotas {
    buckets: Vec<Bucket>,
    total_rate: f64,
}

impl TenantQuotas {
    /// Creates a full bucket for each tenant.
    pub(super) fn new(tenants: &[Tenant], now: Time) -> Self {
        let bucket = |tenant: &Tenant| Bucket {
            quota: tenant.quota,
            tokens: None,
            refilled_at: now,
        };
        TenantQuotas {
            buckets: tenants.iter().map(bucket).collect(),
            total_rate: tenants.iter().map(|tenant| tenant.quota.max(0.0)).sum(),
        }
    }

    /// Requests per second that all tenants together may send to all nodes; 0 if no tenant has a quota.
    pub(super) fn total_rate(&self) -> f64 {
        self.total_rate
    }

    /// Takes a token for a request of a tenant; returns true if there was none, so that the tenant is over its quota.
    /// `traffic_fraction` is this node's fraction of the traffic.
    pub(super) fn is_exceeded(
        &mut self,
        now: Time,
        tenant: TenantId,
        traffic_fraction: f64,
    ) -> bool {
        let Some(bucket) = self.buckets.get_mut(usize::from(tenant)) else {
            return false;
        };
        let rate = bucket.quota * traffic_fraction;
        if rate <= 0.0 {
            return false;
        }
        let size = BURST_SECONDS * rate + BURST_REQUESTS;
        let elapsed = now - bucket.refilled_at;
        let tokens = bucket
            .tokens
            .map_or(size, |tokens| (tokens + rate * elapsed).min(size));
        bucket.refilled_at = now;
        let is_exceeded = tokens < 1.0;
        bucket.tokens = Some(if is_exceeded { tokens } else { tokens - 1.0 });
        is_exceeded
    }
}
