//! Encodes actions as records of the simulator's protocol.

use super::frame::ActionRecord;
use super::layout::action::{
    cancel, fail, forward, health_check, increment_counter, reject, timer, watch_endpoints,
};
use crate::action::Action;

/// Encodes an action of an instance as a record.
pub(super) fn encode(instance: u32, action: &Action) -> ActionRecord {
    let record = |code| ActionRecord::new(code, instance);
    match *action {
        Action::Forward { id, server, timeout } => record(forward::CODE)
            .with_u32(forward::ID, id.0)
            .with_u32(forward::SERVER, server.0)
            .with_f64(forward::TIMEOUT, timeout),
        Action::Reject { id, retry_after } => {
            record(reject::CODE).with_u32(reject::ID, id.0).with_f64(reject::RETRY_AFTER, retry_after)
        }
        Action::Fail(id) => record(fail::CODE).with_u32(fail::ID, id.0),
        Action::Cancel { id, attempt } => {
            record(cancel::CODE).with_u32(cancel::ID, id.0).with_u8(cancel::ATTEMPT, attempt)
        }
        Action::HealthCheck(server) => record(health_check::CODE).with_u32(health_check::SERVER, server.0),
        Action::IncrementCounter { key, add, ttl } => record(increment_counter::CODE)
            .with_u64(increment_counter::KEY, key.0)
            .with_f32(increment_counter::ADD, add as f32)
            .with_f64(increment_counter::TTL, ttl),
        Action::Timer { after, token } => {
            record(timer::CODE).with_f64(timer::AFTER, after).with_u64(timer::TOKEN, token)
        }
        Action::WatchEndpoints => record(watch_endpoints::CODE).with_u8(watch_endpoints::ON, 1),
    }
}
