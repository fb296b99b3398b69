//! Tests of the policy's rules and regression tests for failures that were found. Each test feeds a short
//! sequence of events to a gateway, or to a small fleet, and checks the resulting actions.

#[path = "policy/counter.rs"]
mod counter;
#[path = "policy/endpoints.rs"]
mod endpoints;
#[path = "policy/quota.rs"]
mod quota;
#[path = "policy/retries.rs"]
mod retries;
#[path = "policy/rig.rs"]
mod rig;
#[allow(dead_code)] // each test binary uses only some of it
#[path = "support/simulation.rs"]
mod simulation;
#[path = "policy/tenants.rs"]
mod tenants;
