//! The interval of the housekeeping timer, and the eviction of idle tenants. Each housekeeping run examines a
//! batch of tenants and evicts the idle ones, synchronizes usage with the counter and sends hedged requests.

use super::tenant::Tenant;
use crate::ids::{Millis, TenantId};
use std::collections::{BTreeMap, BTreeSet};

/// Period of the housekeeping timer, ms. The period is short compared with the usual latency objectives.
pub(super) const HOUSEKEEPING_INTERVAL: Millis = 20.0;
/// Maximum number of tenants that one housekeeping run, or one new tenant without room, examines for eviction.
/// The bound keeps this short, however many tenants there are.
const EVICTION_BATCH: usize = 32;

/// Position at which the search for evictable tenants continues.
#[derive(Default)]
pub(super) struct EvictionCursor {
    /// The lowest tenant id that is examined next.
    next_tenant: TenantId,
}

impl EvictionCursor {
    /// Examines the next batch of tenants and evicts those for which `is_evictable` returns true.
    pub(super) fn evict(
        &mut self,
        tenants: &mut BTreeMap<TenantId, Tenant>,
        unsynced_tenants: &mut BTreeSet<TenantId>,
        is_evictable: impl Fn(&Tenant) -> bool,
    ) {
        let batch: Vec<TenantId> =
            tenants.range(self.next_tenant..).take(EVICTION_BATCH).map(|(id, _)| *id).collect();
        let reached_end = batch.len() < EVICTION_BATCH;
        self.next_tenant = match batch.last() {
            Some(last) if !reached_end => TenantId(last.0 + 1),
            _ => TenantId(0),
        };
        for id in batch {
            if tenants.get(&id).is_some_and(&is_evictable) {
                tenants.remove(&id);
                unsynced_tenants.remove(&id);
            }
        }
    }
}
