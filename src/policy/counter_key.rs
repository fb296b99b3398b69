//! Keys under which the counter service keeps a tenant's unit totals. Each key is used for one period only,
//! so that the totals restart from zero regularly and errors in them do not accumulate.

use super::disposition::Disposition;
use crate::ids::{CounterKey, Millis, TenantId};

/// Length of the period in which gateways use one counter key, ms: half of [`COUNTER_KEY_TTL`], so that the
/// key can still be read once more after its period.
pub(super) const COUNTER_KEY_PERIOD: Millis = 30_000.0;
/// Time after which the counter service deletes a key, ms: the longest time to live that the service allows.
pub(super) const COUNTER_KEY_TTL: Millis = 60_000.0;

/// The tenant and the disposition whose units a counter key counts.
#[derive(Clone, Copy)]
pub(super) struct KeyOwner {
    pub(super) tenant: TenantId,
    pub(super) disposition: Disposition,
}

/// First multiplier of the 64-bit key hash: the golden ratio as a 64-bit fraction.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of each mixing round of the key hash, from the `xmx` mixer.
const MIX_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;
/// Number of mixing rounds of the key hash.
const MIX_ROUNDS: usize = 2;

/// Number of the key period that contains the time `now`.
pub(super) fn period_at(now: Millis) -> i64 {
    (now / COUNTER_KEY_PERIOD).floor() as i64
}

/// The key that counts a tenant's units of one disposition in one period. Every gateway computes the same key
/// for one period. Gateways whose clocks differ use different keys while the clocks are in different periods.
pub(super) fn counter_key(tenant: TenantId, disposition: Disposition, period: i64) -> CounterKey {
    let disposition_bit = match disposition {
        Disposition::Forwarded => 0,
        Disposition::NotForwarded => 1,
    };
    let mut hash = tenant.0.wrapping_mul(GOLDEN_RATIO) ^ ((period as u64) << 1 | disposition_bit);
    for _ in 0..MIX_ROUNDS {
        hash = (hash ^ (hash >> 31)).wrapping_mul(MIX_MULTIPLIER);
    }
    CounterKey(hash ^ (hash >> 32))
}
