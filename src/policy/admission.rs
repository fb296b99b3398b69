//! Quota admission: whether a request that has not been forwarded yet may be, must wait, or is rejected.

use super::request::TrackedRequest;
use super::tenant::{Tenant, Usage};
use crate::ids::Millis;

/// Share of its class's latency objective that a request waits for the reply to its reservation.
const RESERVATION_WAIT_SHARE: f64 = 0.25;

/// What admission says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may be forwarded.
    Admit,
    /// It has to wait for the counter, for the ceiling or for an attempt of its tenant to end.
    Queue,
    /// Its quota is used up.
    Reject,
}

/// Decides on a request. `roll` is a uniform draw from 0 to 1, made for every decision. The plan's limit on
/// attempts in flight is checked for tenants counted in batches only.
pub(super) fn admit(
    now: Millis,
    in_flight: &mut TrackedRequest,
    tenant: &mut Tenant,
    roll: f64,
) -> Admission {
    if tenant.has_quota() {
        tenant.advance_to(now);
    }
    let units = in_flight.request.units;
    let ceiling_is_short = tenant.ceiling.is_short_of(units);
    let at_in_flight_limit = tenant.is_at_in_flight_limit();
    match &mut tenant.usage {
        Usage::Batched(_) if ceiling_is_short || at_in_flight_limit => Admission::Queue,
        Usage::Batched(usage) => match usage.admits(now, units, roll) {
            true => Admission::Admit,
            false => Admission::Reject,
        },
        Usage::LowTraffic(usage) => {
            let counter_wait = RESERVATION_WAIT_SHARE * in_flight.class.latency_objective;
            let check = &mut in_flight.quota_check;
            if check.awaiting_counter && now - in_flight.arrived_at < counter_wait {
                return Admission::Queue;
            }
            if !check.admitted {
                check.admitted = usage.admits(now, check, roll);
            }
            match check.admitted {
                true if ceiling_is_short => Admission::Queue,
                true => Admission::Admit,
                false => Admission::Reject,
            }
        }
    }
}
