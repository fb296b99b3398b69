//! Quota admission: decides whether a request that has not been forwarded yet may be forwarded, has to wait
//! or is rejected.

use super::request::TrackedRequest;
use super::tenant::{Tenant, Usage};
use crate::ids::Millis;

/// Longest time that a request waits for the counter's reply to its reservation, as a share of the latency
/// objective of its class.
const RESERVATION_WAIT_SHARE: f64 = 0.25;

/// The admission decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The request may be forwarded.
    Admit,
    /// The request has to wait for the counter, for the refill of the ceiling or until another attempt of its
    /// tenant has ended.
    Queue,
    /// The quota of the request's tenant does not admit the request.
    Reject,
}

/// Decides whether to admit a request. `roll` is a random number, uniform between 0 and 1, which the caller
/// draws for every decision. Only tenants that are counted in batches are checked against their plan's limit
/// on attempts in flight.
pub(super) fn admit(now: Millis, tracked: &mut TrackedRequest, tenant: &mut Tenant, roll: f64) -> Admission {
    if tenant.is_limited() {
        tenant.advance_to(now);
    }
    let units = tracked.request.units;
    let ceiling_is_short = tenant.ceiling.is_short_of(units);
    let at_in_flight_limit = tenant.is_at_in_flight_limit();
    match &mut tenant.usage {
        Usage::Batched(_) if ceiling_is_short || at_in_flight_limit => Admission::Queue,
        Usage::Batched(usage) => match usage.admits(now, units, roll) {
            true => Admission::Admit,
            false => Admission::Reject,
        },
        Usage::LowTraffic(usage) => {
            let counter_wait = RESERVATION_WAIT_SHARE * tracked.class.latency_objective;
            let check = &mut tracked.quota_check;
            if check.awaiting_counter && now - tracked.arrived_at < counter_wait {
                return Admission::Queue;
            }
            if !check.admitted {
                check.admitted = usage.decide_admission(now, check, roll);
            }
            match check.admitted {
                true if ceiling_is_short => Admission::Queue,
                true => Admission::Admit,
                false => Admission::Reject,
            }
        }
    }
}
