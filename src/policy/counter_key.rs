//! Names of the numbers that the counter service keeps for a tenant. A number lives for a limited span only,
//! so that what is known of a tenant's use starts anew now and then and errors do not add up.

use super::disposition::Disposition;
use crate::ids::{CounterKey, Millis, TenantId};

/// Span of one counter key, ms: half of [`COUNTER_KEY_TTL`], so that a key can be read once more after its
/// span.
pub(super) const COUNTER_KEY_SPAN: Millis = 30_000.0;
/// Time after which the counter service forgets a key, ms: the longest that it allows.
pub(super) const COUNTER_KEY_TTL: Millis = 60_000.0;

/// Whose units a counter key holds.
#[derive(Clone, Copy)]
pub(super) struct KeyOwner {
    pub(super) tenant: TenantId,
    pub(super) disposition: Disposition,
}

/// Mixing constants of a 64-bit hash: the golden ratio, and the multiplier of the `xmx` mixer.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
const MIX_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;
const MIX_ROUNDS: usize = 2;

/// Number of the span that a time falls into.
pub(super) fn span_at(now: Millis) -> i64 {
    (now / COUNTER_KEY_SPAN).floor() as i64
}

/// The key of a tenant's units of one disposition in a span. The same at every gateway, as far as their
/// clocks agree: gateways with clocks of their own would count apart.
pub(super) fn counter_key(tenant: TenantId, disposition: Disposition, span: i64) -> CounterKey {
    let disposition_bit = match disposition {
        Disposition::Forwarded => 0,
        Disposition::NotForwarded => 1,
    };
    let mut hash = tenant.0.wrapping_mul(GOLDEN_RATIO) ^ ((span as u64) << 1 | disposition_bit);
    for _ in 0..MIX_ROUNDS {
        hash = (hash ^ (hash >> 31)).wrapping_mul(MIX_MULTIPLIER);
    }
    CounterKey(hash ^ (hash >> 32))
}
