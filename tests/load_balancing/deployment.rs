//! The settings, servers and requests that the load balancing tests share.

use rate_limiting_gateway::event::{Endpoint, Request};
use rate_limiting_gateway::ids::{ClassId, RequestId, ServerId, TenantId};
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Number of zones over which the servers are spread.
pub const ZONES: u32 = 6;
/// Number of cells over which the servers are spread.
const CELLS: u32 = 23;
/// Number of tenants that send the requests.
const TENANTS: u32 = 50;

/// The class of idempotent requests. Class ids are indices into the classes of [`settings`].
pub const IDEMPOTENT: ClassId = ClassId(0);
/// The class with an idempotency key that only the servers of one zone share.
pub const KEY_BY_ZONE: ClassId = ClassId(1);
/// The class with an idempotency key that only the servers of one cell share.
pub const KEY_BY_CELL: ClassId = ClassId(2);
/// Number of classes in [`settings`].
pub const CLASSES: u64 = 5;

/// Settings for three gateways, with a class for each kind of idempotency.
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
        fleet_gateway_count: 3.0,
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

/// The list entry of a ready server, whose zone and cell follow from its number.
pub fn endpoint(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        weight: 1.0,
        zone: (server % ZONES) as u16,
        cell: (server % CELLS) as u16,
        ..Endpoint::default()
    }
}

/// The list entries of `count` ready servers, numbered from 1.
pub fn endpoints(count: u32) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

/// A request whose id and tenant follow from its number.
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
