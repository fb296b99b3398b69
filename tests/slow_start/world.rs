//! A simulated deployment, its settings, and the changes and faults that it undergoes.

use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Time at which the starting servers start, in ms.
pub const START: Millis = 3000.0;
/// How long the starting servers are down before they start, in ms.
pub const DOWNTIME: Millis = 700.0;

/// What happens to the gateways when the servers start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatewayRestart {
    /// The gateways keep running.
    None,
    /// All gateways restart with the current endpoint list.
    WithCompleteList,
    /// All gateways restart with the endpoint list from before the servers' start.
    WithCachedList,
}

/// A simulated deployment with its traffic, changes and faults.
#[derive(Clone)]
pub struct World {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of starting servers. They have the lowest indices; all other servers are warm.
    pub starting: usize,
    /// Number of zones, each of which contains about the same number of consecutive servers.
    pub zones: usize,
    /// Whether the endpoint list contained the starting servers before their start. Otherwise they are new.
    pub known_before: bool,
    /// Requested work as a share of the capacity of all servers when warm.
    pub load: f64,
    /// The servers' sizes vary around 1 by up to this factor. The endpoint list has the sizes as weights.
    pub size_spread: f64,
    /// Maximum time from the servers' start until a gateway is notified of it, in ms.
    pub notified_within: Millis,
    /// What happens to the gateways when the servers start.
    pub gateway_restart: GatewayRestart,
    /// Time from the servers' start until all warm servers become unreachable, in ms. With `None` they stay
    /// reachable.
    pub warm_servers_unreachable_after: Option<Millis>,
    /// Factor on the traffic after the burst has begun.
    pub burst: f64,
    /// Share of all attempts that fail, in one of five ways.
    pub fault_rate: f64,
    /// Share of its full capacity that a server has when it starts.
    pub slow_start_capacity: f64,
    /// Length of the window over which the requests to a starting server are counted, in ms.
    pub overload_window: Millis,
    /// Factor on the work that a starting server can complete in the window. A server is overloaded by more
    /// than that, plus a margin for random variation.
    pub overload_factor: f64,
    /// Simulated time after the servers' start, in ms.
    pub duration: Millis,
}

impl World {
    /// A deployment with the default traffic and without faults, in which the first `starting` servers start.
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
            warm_servers_unreachable_after: None,
            burst: 1.0,
            fault_rate: 0.0,
            slow_start_capacity: 0.2,
            overload_window: 2000.0,
            overload_factor: 2.0,
            duration: 5000.0,
        }
    }

    /// When the simulation ends, in ms.
    pub fn end(&self) -> Millis {
        START + self.duration
    }

    /// Whether the server with this index is a starting server.
    pub fn is_starting(&self, server: usize) -> bool {
        server < self.starting
    }

    /// Whether the warm servers are unreachable at `now`.
    pub fn warm_servers_are_unreachable(&self, now: Millis) -> bool {
        self.warm_servers_unreachable_after.is_some_and(|after| now > START + after)
    }

    /// The settings of the gateways.
    pub fn settings(&self) -> Settings {
        let class = |latency_objective, idempotency| Class {
            latency_objective,
            deadline: 2000.0,
            priority_weight: 1.0,
            idempotency,
            ..Class::default()
        };
        let zone_key = Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 1500.0 };
        Settings {
            fleet_gateway_count: self.gateways as f64,
            classes: vec![
                class(800.0, Idempotency::Idempotent),
                class(1000.0, zone_key),
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
