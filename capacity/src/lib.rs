//! What the limiter costs at the size of a fleet.
//!
//! [`policy_cost`] measures one decision module by size, [`memory`] what it keeps, and [`simulated_fleet`] plays a whole fleet
//! of them on one simulated clock; [`process`] starts real limiters. All time is processor time, which a busy machine stretches less than the clock
//! on the wall; [`measure`] repeats, takes medians and fits slopes.

pub mod deployment;
pub mod measure;
pub mod memory;
pub mod policy_cost;
pub mod process;
pub mod simulated_fleet;
pub mod stub_peers;
