//! Names of the request headers, and strict parsing of their values.

use super::request_error::RequestError;
use hyper::header::{HeaderMap, HeaderName};

/// Header with the id of the request, which must be unique among the requests in flight.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Header with the class of the request, which must equal the class in the path.
pub const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// Header with the name of the tenant's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// Header with the time for which the client still waits, decimal seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Header with the units that the request consumes, the number of gateways that receive its tenant's
/// requests, and the index of the first of these gateways.
pub const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// Header by which a client marks a request as a retry. The gateway does not use its value.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-repeat");
/// Header with the key by which servers recognise a repeated request, so that they do not execute it again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns the value of a header, or `None` if the header is absent. Fails if the header occurs more than
/// once or its value contains characters other than visible ASCII, spaces and tabs.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| RequestError::HeaderNotAscii),
        _ => Err(RequestError::DuplicateHeader),
    }
}

/// Parses a decimal number that consists of digits and at most one dot; white space around the number is
/// ignored. Signs, exponents, `NaN` and `inf` are not accepted, but a number that is too large for an `f64`
/// is returned as infinity.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let only_digits_and_dots = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if only_digits_and_dots {
        text.parse().ok()
    } else {
        None
    }
}
