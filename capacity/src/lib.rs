//! What a gateway costs at the size of a fleet.
//!
//! [`policy_cost`] measures the decisions of one gateway by size, [`memory`] what it keeps, and
//! [`simulated_fleet`] simulates all gateways of a fleet on one clock; [`process`] starts real ones. All time
//! is processor time unless stated otherwise, because a busy machine stretches it less than wall-clock time;
//! [`measure`] repeats, takes medians and fits slopes.

pub mod deployment;
pub mod error;
pub mod measure;
pub mod memory;
pub mod policy_cost;
pub mod process;
pub mod simulated_fleet;
#[path = "../../tests/support/simulation.rs"]
pub mod simulation;
pub mod stub_peers;
