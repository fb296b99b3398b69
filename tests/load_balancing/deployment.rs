//! The settings and servers that the simulations share.

use rate_limiting_gateway::event::{Endpoint, Request};
use rate_limiting_gateway::ids::{ClassId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Zones and cells over which the servers are spread.
pub const ZONES: u32 = 6;
const CELLS: u32 = 23;
const TENANTS: u32 = 50;

/// The idempotent class; classes are by their place in [`settings`].
pub const IDEMPOTENT: ClassId = ClassId(0);
/// With an idempotency key that is known in the zone.
pub const KEY_BY_ZONE: ClassId = ClassId(1);
/// With an idempotency key that is known in the cell.
pub const KEY_BY_CELL: ClassId = ClassId(2);
/// Number of classes.
pub const CLASSES: u64 = 5;

/// Three gateways and a class for each kind of idempotency.
pub fn settings() -> Settings {
    let with_key = |scope| Idempotency::IdempotencyKey { scope, window: 4000.0 };
    let idempotencies = [
        Idempotency::Idempotent,
        with_key(DeduplicationScope::Zone),
        with_key(DeduplicationScope::Cell),
        with_key(DeduplicationScope::All),
        Idempotency::NonIdempotent,
    ];
    let class = |idempotency| Class {
        latency_objective: 600.0,
        deadline: 1500.0,
        priority_weight: 1.0,
        idempotency,
        ..Class::default()
    };
    Settings {
        gateway_count: 3.0,
        classes: idempotencies.into_iter().map(class).collect(),
        plans: vec![Plan { priority_multiplier: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 4,
        hedging_allowed: true,
        cancellation_allowed: true,
        slow_start_capacity: 0.2,
        slow_start_window: 4000.0,
        ..Settings::default()
    }
}

/// A ready server in its zone and cell.
pub fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        weight: 1.0,
        zone: (server % ZONES) as u16,
        cell: (server % CELLS) as u16,
        ..Endpoint::default()
    }
}

/// Ready servers, numbered from 1.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// A request by its number.
pub fn request(number: u32, class: ClassId) -> Request {
    Request {
        id: RequestId(number),
        tenant: TenantId(u64::from(number % TENANTS)),
        class,
        units: 1.0,
        time_left: 900.0,
        ..Request::default()
    }
}
