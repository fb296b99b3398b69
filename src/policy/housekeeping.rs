//! The interval of the housekeeping timer, and the eviction of idle tenants. Each housekeeping run examines a
//! batch of tenants and evicts the idle ones, synchronizes usage with the counter and sends hedged requests.

use super::tenant::Tenant;
use crate::ids::{Millis, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// Period of the housekeeping timer, ms. The period is short compared with the usual latency objectives.
pub(super) const HOUSEKEEPING_INTERVAL: Millis = 20.0;
/// Maximum number of tenants that one housekeeping run examines for eviction. The bound keeps a run short,
/// however many tenants there are.
const EVICTION_BATCH: usize = 32;

/// Position at which the next housekeeping run continues the search for idle tenants.
#[derive(Default)]
pub(super) struct EvictionCursor {
    /// The lowest tenant id that the next run examines.
    next_tenant: TenantId,
}

impl EvictionCursor {
    /// Examines the next batch of tenants and evicts those that have been idle for long enough.
    pub(super) fn evict_idle(
        &mut self,
        now: Millis,
        tenants: &mut BTreeMap<TenantId, Tenant>,
        unsynced_tenants: &mut BTreeSet<TenantId>,
    ) {
        let batch: Vec<TenantId> =
            tenants.range(self.next_tenant..).take(EVICTION_BATCH).map(|(id, _)| *id).collect();
        let reached_end = batch.len() < EVICTION_BATCH;
        self.next_tenant = match batch.last() {
            Some(last) if !reached_end => TenantId(last.0 + 1),
            _ => TenantId(0),
        };
        for id in batch {
            if tenants.get(&id).is_some_and(|tenant| tenant.is_evictable(now)) {
                tenants.remove(&id);
                unsynced_tenants.remove(&id);
            }
        }
    }
}
