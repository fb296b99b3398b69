//! A deployment, its settings and what befalls it.

use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// The starting servers start at this time, ms.
pub const START: Millis = 3000.0;
/// How long they have been down by then, ms.
pub const DOWNTIME: Millis = 700.0;

/// What happens to the gateways when the servers start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatewayRestart {
    /// They run on.
    None,
    /// All restart with the present list.
    WithCompleteList,
    /// All restart with the list as it was before.
    WithCachedList,
}

/// A deployment and what befalls it.
#[derive(Clone)]
pub struct World {
    pub gateways: usize,
    pub servers: usize,
    /// The first of the servers start; the others are warm.
    pub starting: usize,
    /// Zones of equal size, one after the other.
    pub zones: usize,
    /// The starting servers have been in the list before; else they join.
    pub known_before: bool,
    /// Work requested, as a share of what all servers could do warm.
    pub load: f64,
    /// The servers' sizes spread around 1 by this factor; the list shows them.
    pub size_spread: f64,
    /// Each gateway is notified of the start within this time after it, ms.
    pub notified_within: Millis,
    pub gateway_restart: GatewayRestart,
    /// From so long after the start on no connection to a warm server comes up, ms; none: they all do.
    pub warm_servers_lost_after: Option<Millis>,
    /// Factor of the traffic once the burst has begun.
    pub burst: f64,
    /// The share of all attempts that fail, in five ways.
    pub fault_rate: f64,
    /// Share of its capacity that a server has at its start.
    pub slow_start_capacity: f64,
    /// A server is overloaded by more than `overload_factor` times its work within this window, ms.
    pub overload_window: Millis,
    pub overload_factor: f64,
    /// How long is simulated from the start on, ms.
    pub duration: Millis,
}

impl World {
    /// The usual traffic before so many servers, of which the first start.
    pub fn new(gateways: usize, servers: usize, starting: usize) -> Self {
        World {
            gateways,
            servers,
            starting,
            zones: 3,
            known_before: true,
            load: 0.6,
            size_spread: 1.0,
            notified_within: 1500.0,
            gateway_restart: GatewayRestart::None,
            warm_servers_lost_after: None,
            burst: 1.0,
            fault_rate: 0.0,
            slow_start_capacity: 0.2,
            overload_window: 2000.0,
            overload_factor: 2.0,
            duration: 5000.0,
        }
    }

    /// When the simulation ends, ms.
    pub fn end(&self) -> Millis {
        START + self.duration
    }

    /// Whether a server, by its index, is one that starts.
    pub fn is_starting(&self, server: usize) -> bool {
        server < self.starting
    }

    /// Whether connections to warm servers come up no more.
    pub fn warm_servers_are_lost(&self, now: Millis) -> bool {
        self.warm_servers_lost_after.is_some_and(|after| now > START + after)
    }

    /// Settings of each gateway.
    pub fn settings(&self) -> Settings {
        let class = |latency_objective, idempotency| Class {
            latency_objective,
            deadline: 2000.0,
            priority_weight: 1.0,
            idempotency,
            ..Class::default()
        };
        let zonal = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 1500.0 };
        Settings {
            gateway_count: self.gateways as f64,
            classes: vec![
                class(800.0, Idempotency::Idempotent),
                class(1000.0, zonal),
                class(800.0, Idempotency::NonIdempotent),
            ],
            plans: vec![Plan { priority_multiplier: 1.0, ..Plan::default() }],
            max_units: 1.0,
            max_attempts: 4,
            hedging_allowed: true,
            cancellation_allowed: true,
            slow_start_capacity: self.slow_start_capacity,
            slow_start_window: 12_000.0,
            ..Settings::default()
        }
    }
}
