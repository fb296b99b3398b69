//! The two dispositions under which the units of a tenant's requests are counted.

/// Whether a request was forwarded. The units of each disposition are counted separately, so that a counter
/// reply for one disposition never makes the count of the other disposition inconsistent. A tenant's demand
/// is the sum of both counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Forwarded to a server.
    Forwarded,
    /// Not forwarded: the request was rejected, or its client disconnected, before it was forwarded.
    NotForwarded,
}
