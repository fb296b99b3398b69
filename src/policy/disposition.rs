//! What became of the units that a tenant asked for.

/// Whether a request's units were forwarded. The two are counted apart, so that a counter reply that covers
/// only one of them never makes the other inconsistent; a tenant's demand is their sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// Forwarded to a server.
    Forwarded,
    /// Not forwarded: rejected, shed, or its client disconnected before.
    NotForwarded,
}
