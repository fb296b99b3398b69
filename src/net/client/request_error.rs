//! The reasons why the gateway answers a request with an error before it submits the request to the policy.

use hyper::StatusCode;
use std::fmt;

/// The reason why the gateway answers a request with an error before it submits the request to the policy.
/// The response has the [`Self::status`] and the [`Self::response_text`] of the error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request has a `Transfer-Encoding` header.
    TransferEncoding,
    /// A header that may occur only once occurs more than once.
    DuplicateHeader,
    /// A header's value contains characters other than visible ASCII, spaces and tabs.
    HeaderNotAscii,
    /// The first segment of the path is not the name of a class.
    UnknownPath,
    /// The class header is absent or differs from the class in the path.
    ClassMismatch,
    /// The class in the path is a configured name, but the settings contain no such class.
    UnknownClass,
    /// The method is not the one that the class requires.
    MethodNotAllowed,
    /// The class requires an idempotency key, and the request has none or an empty one.
    MissingIdempotencyKey,
    /// The correlation id is absent, empty or longer than 128 bytes.
    InvalidCorrelationId,
    /// The plan is absent or unknown.
    UnknownPlan,
    /// The tenant in the query is absent, repeated or invalid.
    InvalidTenant,
    /// The `X-Time-Left` header is absent, invalid or out of range.
    InvalidTimeLeft,
    /// The quota header is absent, invalid or out of range.
    InvalidQuota,
    /// A `GET` request has a body.
    UnexpectedBody,
    /// The body is longer than 64 KiB.
    BodyTooLong,
    /// Reading the body failed, usually because the connection was closed or lost before the body was
    /// complete.
    IncompleteBody,
    /// The body was not received within the read timeout.
    BodyTimeout,
    /// Another request with this correlation id is in flight.
    CorrelationIdInFlight,
    /// A request with this correlation id that must not be executed twice has been forwarded.
    CorrelationIdForwarded,
}

impl RequestError {
    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::TransferEncoding => StatusCode::LENGTH_REQUIRED,
            RequestError::UnknownPath => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::CorrelationIdInFlight | RequestError::CorrelationIdForwarded => {
                StatusCode::CONFLICT
            }
            RequestError::DuplicateHeader
            | RequestError::HeaderNotAscii
            | RequestError::ClassMismatch
            | RequestError::UnknownClass
            | RequestError::MissingIdempotencyKey
            | RequestError::InvalidCorrelationId
            | RequestError::UnknownPlan
            | RequestError::InvalidTenant
            | RequestError::InvalidTimeLeft
            | RequestError::InvalidQuota
            | RequestError::UnexpectedBody
            | RequestError::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }

    /// Body of the response: one line of text that ends in a line feed.
    pub fn response_text(self) -> &'static str {
        match self {
            RequestError::TransferEncoding => "Content-Length is wanted, and no Transfer-Encoding\n",
            RequestError::DuplicateHeader => "a header stands twice\n",
            RequestError::HeaderNotAscii => "a header is no plain text\n",
            RequestError::UnknownPath => "no such path\n",
            RequestError::ClassMismatch => "the class in the header is not that of the path\n",
            RequestError::UnknownClass => "no such class\n",
            RequestError::MethodNotAllowed => "the class wants another method\n",
            RequestError::MissingIdempotencyKey => "Idempotency-Key is missing\n",
            RequestError::InvalidCorrelationId => "X-Correlation-Id is missing\n",
            RequestError::UnknownPlan => "unknown plan\n",
            RequestError::InvalidTenant => "no customer that can be read\n",
            RequestError::InvalidTimeLeft => "X-Time-Left is missing or out of range\n",
            RequestError::InvalidQuota => "X-Quota cannot be read\n",
            RequestError::UnexpectedBody => "no body is wanted\n",
            RequestError::BodyTooLong => "over 64 KiB\n",
            RequestError::IncompleteBody => "the body is not whole\n",
            RequestError::BodyTimeout => "the body takes too long\n",
            RequestError::CorrelationIdInFlight => "a request of this name is open\n",
            RequestError::CorrelationIdForwarded => "a request with this id has been forwarded before\n",
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response_text().trim_end())
    }
}

impl std::error::Error for RequestError {}
