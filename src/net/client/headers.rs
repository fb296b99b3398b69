//! Names of the request headers, and the strict reading of their values.

use super::request_error::RequestError;
use hyper::header::{HeaderMap, HeaderName};

/// The request's id, unique among the requests in flight.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The service class, as in the path.
pub const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// The tenant's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// How long the client still waits; seconds with decimals.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Units of the request, and the gateways that serve its tenant.
pub const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// Marks a client's retry.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// The key by which servers drop repeated executions.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The value of a header, none if it is absent; an error if it occurs twice or is not visible ASCII.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| RequestError::HeaderNotText),
        _ => Err(RequestError::DuplicateHeader),
    }
}

/// A plain decimal number: no sign, no exponent, no `NaN` or `inf`.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if is_plain {
        text.parse().ok()
    } else {
        None
    }
}
