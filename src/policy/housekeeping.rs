//! The interval of the housekeeping timer, and the eviction of idle tenants. Each housekeeping run evicts
//! idle tenants, synchronizes usage with the counter and sends hedged requests.

use super::tenant::Tenant;
use crate::ids::{Millis, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// Period of the housekeeping timer, ms. It is short compared with any latency objective.
pub(super) const HOUSEKEEPING_INTERVAL: Millis = 20.0;
/// Tenants that one housekeeping run examines for eviction. The bound keeps a run short however many tenants
/// there are.
const EVICTION_BATCH: usize = 32;

/// Position at which the next housekeeping run continues the search for idle tenants.
#[derive(Default)]
pub(super) struct EvictionCursor {
    next: TenantId,
}

impl EvictionCursor {
    /// Examines the next batch of tenants and evicts those that have been idle for long enough.
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
