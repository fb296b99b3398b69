//! The interval of housekeeping, in which idle tenants are evicted, counters synchronised and hedged requests
//! sent; and the eviction.

use super::tenant::Tenant;
use crate::ids::{Millis, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// Period of the housekeeping timer, ms: short beside any latency objective.
pub(super) const HOUSEKEEPING_INTERVAL: Millis = 20.0;
/// Tenants examined for eviction in one housekeeping: it takes no longer, however many there are.
const EVICTION_BATCH: usize = 32;

/// Where the search for idle tenants goes on.
#[derive(Default)]
pub(super) struct EvictionCursor {
    next: TenantId,
}

impl EvictionCursor {
    /// Forgets tenants that have not come for long, a batch at a time.
    pub(super) fn evict_idle(
        &mut self,
        now: Millis,
        tenants: &mut BTreeMap<TenantId, Tenant>,
        unsynced: &mut BTreeSet<TenantId>,
    ) {
        let batch: Vec<TenantId> =
            tenants.range(self.next..).take(EVICTION_BATCH).map(|(id, _)| *id).collect();
        let reached_end = batch.len() < EVICTION_BATCH;
        self.next = match batch.last() {
            Some(last) if !reached_end => TenantId(last.0 + 1),
            _ => TenantId(0),
        };
        for id in batch {
            if tenants.get(&id).is_some_and(|tenant| tenant.is_evictable(now)) {
                tenants.remove(&id);
                unsynced.remove(&id);
            }
        }
    }
}
