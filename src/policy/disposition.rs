//! Whether the units of a request were forwarded.

/// Whether a request's units were forwarded. The units of each disposition are counted separately, so that a
/// counter reply for one disposition never makes the count of the other inconsistent. A tenant's demand is
/// the sum of both counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Forwarded to a server.
    Forwarded,
    /// Not forwarded: the request was rejected, or its client disconnected, before it was forwarded.
    NotForwarded,
}
