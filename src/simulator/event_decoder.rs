//! Decodes event records of the simulator's protocol.

use super::error::FrameError;
use super::frame::FieldReader;
use super::layout::{endpoint, endpoint_state, endpoint_update, event, outcome, ENDPOINT_BYTES};
use crate::event::{Endpoint, EndpointState, EndpointUpdate, Event, Outcome, Request};
use crate::ids::{ClassId, CounterKey, PlanId, RequestId, ServerId, TenantId};

/// Decodes an event for a running gateway. `tail` contains the lists to which the record refers. Returns
/// `None` for a message from another instance, because gateways ignore such messages.
///
/// # Errors
/// Returns an error if the code is unknown or a field is invalid.
pub(super) fn decode(
    code: u16,
    record: FieldReader<'_>,
    tail: FieldReader<'_>,
) -> Result<Option<Event>, FrameError> {
    let event = match code {
        event::endpoints_changed::CODE => decode_endpoints_changed(record, tail),
        event::request::CODE => decode_request(record),
        event::attempt_ended::CODE => decode_attempt_ended(record),
        event::response_started::CODE => decode_response_started(record),
        event::client_disconnected::CODE => {
            Ok(Event::ClientDisconnected(RequestId(record.u32(event::client_disconnected::ID)?)))
        }
        event::timer::CODE => Ok(Event::Timer(record.u64(event::timer::TOKEN)?)),
        event::health_checked::CODE => decode_health_checked(record),
        event::counter_replied::CODE => decode_counter_replied(record),
        event::peer_message::CODE => return Ok(None),
        _ => Err(FrameError::UnknownEvent(code)),
    };
    event.map(Some)
}

fn decode_endpoints_changed(record: FieldReader<'_>, tail: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::endpoints_changed::{ENDPOINTS_COUNT, ENDPOINTS_OFFSET, UPDATE};
    let update = decode_update(record.u8(UPDATE)?)?;
    let (offset, count) = (record.u32(ENDPOINTS_OFFSET)?, record.u32(ENDPOINTS_COUNT)?);
    let entries = tail
        .items(offset, count, ENDPOINT_BYTES)?
        .chunks_exact(ENDPOINT_BYTES)
        .map(|bytes| decode_endpoint(FieldReader { bytes, section: "endpoint" }))
        .collect::<Result<_, _>>()?;
    Ok(Event::EndpointsChanged { update, entries })
}

fn decode_request(record: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::request::{CLASS, GATEWAY_COUNT, ID, PLAN, TENANT, TIME_LEFT, UNITS};
    Ok(Event::Request(Request {
        id: RequestId(record.u32(ID)?),
        tenant: TenantId(record.u64(TENANT)?),
        class: ClassId(record.u16(CLASS)?.into()),
        plan: PlanId(record.u32(PLAN)? as usize),
        units: record.f32(UNITS)?,
        time_left: record.f64(TIME_LEFT)?,
        gateway_count: record.f32(GATEWAY_COUNT)?,
    }))
}

fn decode_attempt_ended(record: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::attempt_ended::{ATTEMPT, COMPLETE, ELAPSED, ID, OUTCOME, SERVER};
    Ok(Event::AttemptEnded {
        id: RequestId(record.u32(ID)?),
        attempt: record.u8(ATTEMPT)?,
        server: ServerId(record.u32(SERVER)?),
        outcome: decode_outcome(record.u8(OUTCOME)?)?,
        complete: record.u8(COMPLETE)? != 0,
        elapsed: record.f64(ELAPSED)?,
    })
}

fn decode_response_started(record: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::response_started::{ATTEMPT, ID};
    Ok(Event::ResponseStarted { id: RequestId(record.u32(ID)?), attempt: record.u8(ATTEMPT)? })
}

fn decode_health_checked(record: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::health_checked::{ELAPSED, OUTCOME, SERVER};
    Ok(Event::HealthChecked {
        server: ServerId(record.u32(SERVER)?),
        outcome: decode_outcome(record.u8(OUTCOME)?)?,
        elapsed: record.f64(ELAPSED)?,
    })
}

fn decode_counter_replied(record: FieldReader<'_>) -> Result<Event, FrameError> {
    use event::counter_replied::{ELAPSED, KEY, OUTCOME, TOTAL};
    Ok(Event::CounterReplied {
        key: CounterKey(record.u64(KEY)?),
        outcome: decode_outcome(record.u8(OUTCOME)?)?,
        elapsed: record.f64(ELAPSED)?,
        total: record.f32(TOTAL)?,
    })
}

fn decode_endpoint(entry: FieldReader<'_>) -> Result<Endpoint, FrameError> {
    Ok(Endpoint {
        weight: entry.f32(endpoint::WEIGHT)?,
        server: ServerId(entry.u32(endpoint::SERVER)?),
        zone: entry.u16(endpoint::ZONE)?,
        started_at: entry.f64(endpoint::STARTED_AT)?,
        cell: entry.u16(endpoint::CELL)?,
        state: decode_state(entry.u8(endpoint::STATE)?)?,
    })
}

fn decode_state(code: u8) -> Result<EndpointState, FrameError> {
    match code {
        endpoint_state::READY => Ok(EndpointState::Ready),
        endpoint_state::DRAINING => Ok(EndpointState::Draining),
        endpoint_state::REMOVED => Ok(EndpointState::Removed),
        _ => Err(FrameError::UnknownEndpointState(code)),
    }
}

fn decode_update(code: u8) -> Result<EndpointUpdate, FrameError> {
    match code {
        endpoint_update::INCREMENTAL => Ok(EndpointUpdate::Incremental),
        endpoint_update::COMPLETE => Ok(EndpointUpdate::Complete),
        endpoint_update::CACHED => Ok(EndpointUpdate::Cached),
        endpoint_update::FAILED => Ok(EndpointUpdate::Failed),
        _ => Err(FrameError::UnknownEndpointUpdate(code)),
    }
}

fn decode_outcome(code: u8) -> Result<Outcome, FrameError> {
    match code {
        outcome::OK => Ok(Outcome::Ok),
        outcome::ERROR => Ok(Outcome::Error),
        outcome::REJECTED => Ok(Outcome::Rejected),
        outcome::TIMED_OUT => Ok(Outcome::TimedOut),
        outcome::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
        outcome::RESET => Ok(Outcome::Reset),
        outcome::CANCELLED => Ok(Outcome::Cancelled),
        outcome::NOT_SENT => Ok(Outcome::NotSent),
        _ => Err(FrameError::UnknownOutcome(code)),
    }
}
