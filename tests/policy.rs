//! Rules of the decisions, and each failure that was found, as small scripts of events for one gateway.

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
#[allow(dead_code)] // each file of tests uses its own part
#[path = "support/simulation.rs"]
mod simulation;
