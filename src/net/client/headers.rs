//! Names of the request headers, and strict parsing of their values.

use super::request_error::RequestError;
use hyper::header::{HeaderMap, HeaderName};

/// Id of the request, unique among the requests in flight.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Service class of the request; it must equal the class in the path.
pub const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// Plan of the tenant.
pub const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// How long the client still waits, decimal seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Units of the request, and the gateways that receive its tenant's requests.
pub const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// Marks a request as a client's retry.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// Key by which servers recognise a repeated request, so that they do not execute it again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns the value of a header, or `None` if it is absent. Fails if the header occurs more than once or is
/// not visible ASCII.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| RequestError::HeaderNotAscii),
        _ => Err(RequestError::DuplicateHeader),
    }
}

/// Parses a plain decimal number: one without a sign or an exponent, and not `NaN` or `inf`.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let only_digits_and_dots = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if only_digits_and_dots {
        text.parse().ok()
    } else {
        None
    }
}
