//! The decisions of one gateway. The module does no I/O, reads no clock and takes its random numbers only
//! from a generator with a given seed, so the same settings, seed and events always produce the same actions.
//!
//! [`Gateway`] passes each event to the module that handles it. A request goes through the modules in this
//! order: `request_lifecycle` (arrival to final answer), `admission` (quota, ceiling, attempts in flight),
//! `queue`, `concurrency_limit`, `endpoint_selection` with `endpoint_health` (outlier ejection) and
//! `slow_start`, and for further attempts `retry_budget` and `hedging`. The gateways learn each other's use
//! of a quota through the counter service. `counter_calls` makes the calls, `counter_health` limits their
//! rate, and `batched_usage` or `low_traffic` tracks the use of each tenant.

mod admission;
mod batched_usage;
mod candidate_set;
mod ceiling;
mod class_latency;
mod concurrency_limit;
mod counter_calls;
mod counter_health;
mod counter_key;
mod counter_sync;
mod disposition;
mod endpoint_block;
mod endpoint_health;
mod endpoint_index;
mod endpoint_selection;
mod gateway;
mod hedging;
mod housekeeping;
mod low_traffic;
mod mean_latency;
mod queue;
mod quota;
mod random;
mod request;
mod request_lifecycle;
mod retry_budget;
mod send_rate;
mod sliding_window;
mod slow_start;
mod tenant;

pub use counter_health::counter_call_timeout;
pub use gateway::Gateway;
