//! The deployments in which gateways are disturbed.

use rate_limiting_gateway::ids::Millis;
use rate_limiting_gateway::settings::{Class, Plan, Settings};

/// Latency objective of the only class, ms.
const LATENCY_OBJECTIVE: Millis = 500.0;
/// Time that the clients of the class wait at most, ms.
const DEADLINE: Millis = 2000.0;

/// A gateway, its servers and its traffic.
pub struct Deployment {
    pub name: &'static str,
    pub gateways: u32,
    pub servers: u32,
    /// Requests per second that the gateway gets.
    pub request_rate: f64,
    /// Response time of the servers, ms.
    pub response_time: Millis,
    /// Number of tenants, which send their requests in turn.
    pub tenants: u64,
    pub plan: Plan,
    /// Value of a late response, from which it follows how long attempts may take.
    pub late_value: f64,
    /// Time for which the clients wait, ms.
    pub time_left: Millis,
}

const fn plan(rate: f64, burst: f64, ceiling_rate: f64, ceiling_burst: f64, max_in_flight: f64) -> Plan {
    Plan { rate, burst, max_in_flight, ceiling_rate, ceiling_burst, priority_multiplier: 1.0 }
}

const SMALL: Deployment = Deployment {
    name: "few servers, batched usage",
    gateways: 3,
    servers: 6,
    request_rate: 40.0,
    response_time: 20.0,
    tenants: 40,
    plan: plan(10.0, 30.0, 0.0, 0.0, 0.0),
    late_value: 0.0,
    time_left: 1500.0,
};

/// The deployments of all cases.
pub const DEPLOYMENTS: [Deployment; 9] = [
    SMALL,
    Deployment { name: "late responses have a value", late_value: 0.2, time_left: DEADLINE, ..SMALL },
    Deployment { name: "clients wait for a short time", time_left: 100.0, late_value: 0.2, ..SMALL },
    Deployment {
        name: "a ceiling and a limit on attempts in flight",
        plan: plan(10.0, 30.0, 20.0, 60.0, 6.0),
        ..SMALL
    },
    Deployment { name: "a ceiling and no quota", plan: plan(0.0, 0.0, 20.0, 60.0, 0.0), ..SMALL },
    Deployment { name: "one server", servers: 1, request_rate: 10.0, ..SMALL },
    Deployment {
        name: "a large fleet, low-traffic tenants",
        gateways: 500,
        servers: 300,
        request_rate: 12.0,
        response_time: 20.0,
        tenants: 600,
        plan: plan(4.0, 12.0, 0.0, 0.0, 0.0),
        late_value: 0.2,
        time_left: DEADLINE,
    },
    Deployment {
        name: "attempts are in flight at most times",
        gateways: 100,
        servers: 60,
        request_rate: 18.0,
        response_time: 105.0,
        tenants: 600,
        plan: plan(0.0, 0.0, 0.0, 0.0, 0.0),
        late_value: 0.2,
        time_left: DEADLINE,
    },
    Deployment {
        name: "far fewer servers than gateways",
        gateways: 500,
        servers: 20,
        request_rate: 2.0,
        response_time: 20.0,
        tenants: 600,
        plan: plan(4.0, 12.0, 0.0, 0.0, 0.0),
        late_value: 0.2,
        time_left: DEADLINE,
    },
];

impl Deployment {
    pub fn settings(&self) -> Settings {
        Settings {
            fleet_gateway_count: f64::from(self.gateways),
            classes: vec![Class {
                latency_objective: LATENCY_OBJECTIVE,
                deadline: DEADLINE,
                late_value: self.late_value,
                priority_weight: 1.0,
                ..Class::default()
            }],
            plans: vec![self.plan.clone()],
            max_units: 1.0,
            max_attempts: 4,
            hedging_allowed: true,
            cancellation_allowed: true,
            max_retry_after: 1000.0,
            counter_enabled: true,
            counter_timeout: 50.0,
            slow_start_capacity: 0.2,
            slow_start_window: 10_000.0,
            ..Settings::default()
        }
    }
}
