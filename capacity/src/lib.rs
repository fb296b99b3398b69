//! Measures the processor time and memory that a gateway needs, depending on the size of the fleet.
//!
//! - [`policy_cost`] measures the processor time of one gateway's decisions.
//! - [`memory`] measures the memory of one gateway's state.
//! - [`simulated_fleet`] simulates all gateways of a fleet on one simulated clock.
//! - [`process`] measures real gateway processes.
//! - [`measure`] collects the samples, computes medians, fits slopes and prints reports.
//!
//! All times are processor time unless stated otherwise, because load on the machine distorts processor time
//! less than wall-clock time.

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
