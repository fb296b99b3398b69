//! Validates the head of a request. The whole head is validated before the request is submitted to the
//! policy, so that an invalid request does not change the policy's state for a tenant.

use super::headers::{
    parse_decimal, single_value, CLIENT_RETRY, CORRELATION_ID, IDEMPOTENCY_KEY, PLAN, QUOTA, SERVICE_CLASS,
    TIME_LEFT,
};
use super::quota_header::{parse_quota, Quota, QuotaLimits};
use super::request_error::RequestError;
use crate::config::Names;
use crate::event;
use crate::ids::{ClassId, Millis, PlanId, TenantId};
use crate::settings::{Class, Idempotency, Settings};
use bytes::Bytes;
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Uri};

/// Exclusive upper bound of tenant ids.
const TENANT_ID_LIMIT: u64 = 1 << 33;
/// Number of hexadecimal digits of a tenant id.
const TENANT_ID_DIGITS: usize = 16;
/// Maximum length of a correlation id, bytes.
const MAX_CORRELATION_ID_LENGTH: usize = 128;
/// Longest time left that a client may send in `X-Time-Left`, ms: one hour.
const MAX_TIME_LEFT: Millis = 3_600_000.0;

/// The contents of a valid request head.
pub struct ValidatedHead {
    /// The request for the policy. The event loop sets its id and shortens its time left by a margin.
    pub request: event::Request,
    /// The request's correlation id, 1 to 128 bytes long.
    pub correlation_id: Box<str>,
    /// The client's headers that are forwarded to a server; all others are dropped.
    pub forwarded_headers: HeaderMap,
}

/// Fails if a request has a `Transfer-Encoding` or more than one `Host`, or if its `Host` is not ASCII.
///
/// If a request has both a `Content-Length` and a `Transfer-Encoding`, its body may contain a second request
/// (request smuggling), because the HTTP parser uses only the `Transfer-Encoding`. The length of a body must
/// therefore be given by `Content-Length`. More than one `Host` would leave the host of the request
/// ambiguous.
pub fn check_framing(headers: &HeaderMap) -> Result<(), RequestError> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::TransferEncoding);
    }
    single_value(headers, &HOST).map(|_| ())
}

/// Validates a head against the configured names and settings. Fails with the first error found.
pub fn validate_head(
    head: &Parts,
    names: &Names,
    settings: &Settings,
) -> Result<ValidatedHead, RequestError> {
    let headers = &head.headers;
    let class_id = parse_class(head, names)?;
    let class = settings.classes.get(class_id.0).ok_or(RequestError::UnknownClass)?;
    check_method(&head.method, class)?;
    check_idempotency_key(headers, class)?;
    let correlation_id = parse_correlation_id(headers)?;
    let plan = parse_plan(headers, names)?;
    let tenant = parse_tenant(head.uri.query().unwrap_or("")).ok_or(RequestError::InvalidTenant)?;
    let time_left = parse_time_left(headers, class)?;
    let quota = parse_quota_header(headers, settings)?;
    // The value of this header is not used, but the header may occur only once.
    single_value(headers, &CLIENT_RETRY)?;
    let request = event::Request {
        tenant,
        class: class_id,
        plan,
        units: quota.units,
        time_left,
        gateway_count: quota.gateway_count,
        ..event::Request::default()
    };
    let forwarded_headers = forwarded_headers(headers);
    Ok(ValidatedHead { request, correlation_id: correlation_id.into(), forwarded_headers })
}

/// Fails if a `GET` request has a body.
pub fn check_body(method: &Method, body: &Bytes) -> Result<(), RequestError> {
    if method == Method::GET && !body.is_empty() {
        return Err(RequestError::UnexpectedBody);
    }
    Ok(())
}

/// Returns the URI to send to a server: only the path and query, even if the client sent an absolute URI.
pub fn origin_form(uri: Uri) -> Uri {
    match (uri.scheme(), uri.path_and_query()) {
        (Some(_), Some(path)) => path.clone().into(),
        _ => uri,
    }
}

fn parse_class(head: &Parts, names: &Names) -> Result<ClassId, RequestError> {
    let name = head.uri.path().split('/').nth(1).unwrap_or("");
    let class_index =
        names.classes.iter().position(|class| class == name).ok_or(RequestError::UnknownPath)?;
    if single_value(&head.headers, &SERVICE_CLASS)? != Some(name) {
        return Err(RequestError::ClassMismatch);
    }
    Ok(ClassId(class_index))
}

fn check_method(method: &Method, class: &Class) -> Result<(), RequestError> {
    let expected = if class.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(RequestError::MethodNotAllowed);
    }
    Ok(())
}

fn check_idempotency_key(headers: &HeaderMap, class: &Class) -> Result<(), RequestError> {
    let key = single_value(headers, &IDEMPOTENCY_KEY)?;
    let is_required = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
    if is_required && key.is_none_or(str::is_empty) {
        return Err(RequestError::MissingIdempotencyKey);
    }
    Ok(())
}

fn parse_correlation_id(headers: &HeaderMap) -> Result<&str, RequestError> {
    let id = single_value(headers, &CORRELATION_ID)?;
    id.filter(|id| (1..=MAX_CORRELATION_ID_LENGTH).contains(&id.len()))
        .ok_or(RequestError::InvalidCorrelationId)
}

fn parse_plan(headers: &HeaderMap, names: &Names) -> Result<PlanId, RequestError> {
    let name = single_value(headers, &PLAN)?;
    let plan_index = name.and_then(|name| names.plans.iter().position(|plan| plan == name));
    plan_index.map(PlanId).ok_or(RequestError::UnknownPlan)
}

/// Returns how long the client still waits, ms. The result is at most the deadline of the class, if one is
/// set, so that no request is kept for longer than that deadline.
fn parse_time_left(headers: &HeaderMap, class: &Class) -> Result<Millis, RequestError> {
    let seconds = single_value(headers, &TIME_LEFT)?.and_then(parse_decimal);
    let time_left = seconds.map(|seconds| seconds * 1000.0);
    let time_left = time_left.filter(|time_left| *time_left > 0.0 && *time_left <= MAX_TIME_LEFT);
    let time_left = time_left.ok_or(RequestError::InvalidTimeLeft)?;
    Ok(if class.deadline > 0.0 { time_left.min(class.deadline) } else { time_left })
}

fn parse_quota_header(headers: &HeaderMap, settings: &Settings) -> Result<Quota, RequestError> {
    let limits = QuotaLimits::from_settings(settings);
    let quota = single_value(headers, &QUOTA)?.and_then(|text| parse_quota(text, limits));
    quota.ok_or(RequestError::InvalidQuota)
}

/// Returns the tenant id in a query. The id must occur exactly once, have 16 hexadecimal digits and be less
/// than [`TENANT_ID_LIMIT`].
fn parse_tenant(query: &str) -> Option<TenantId> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix("customer="));
    let is_tenant_id = |v: &&str| v.len() == TENANT_ID_DIGITS && v.bytes().all(|b| b.is_ascii_hexdigit());
    let value = values.next().filter(is_tenant_id)?;
    let id = u64::from_str_radix(value, 16).ok().filter(|id| *id < TENANT_ID_LIMIT)?;
    values.next().is_none().then_some(TenantId(id))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(8);
    for name in [CORRELATION_ID, IDEMPOTENCY_KEY, SERVICE_CLASS, PLAN, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    forwarded
}

#[cfg(test)]
#[path = "../../../tests/unit/client_request_parser.rs"]
mod tests;
