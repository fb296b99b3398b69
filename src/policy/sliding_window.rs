//! A sliding window of unit counts in buckets of equal width.

use super::disposition::Disposition;
use crate::ids::Millis;
use std::collections::VecDeque;

/// Units counted in one interval of the window.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// Start time of the bucket divided by the bucket width.
    index: i64,
    /// Units forwarded by this gateway.
    forwarded_locally: f64,
    /// Units forwarded by all gateways, as known or assumed by this gateway.
    forwarded: f64,
    /// Units that the gateways did not forward, as known or assumed by this gateway.
    not_forwarded: f64,
}

impl Bucket {
    fn units(&self, disposition: Disposition) -> f64 {
        match disposition {
            Disposition::Forwarded => self.forwarded,
            Disposition::NotForwarded => self.not_forwarded,
        }
    }
}

/// Units of one tenant's requests, counted by disposition and by time.
pub(super) struct SlidingWindow {
    bucket_width: Millis,
    /// Buckets in ascending order of their index; buckets without units may be missing.
    buckets: VecDeque<Bucket>,
}

impl SlidingWindow {
    /// An empty window; `bucket_width` in ms.
    pub(super) fn new(bucket_width: Millis) -> Self {
        SlidingWindow { bucket_width, buckets: VecDeque::new() }
    }

    fn index_at(&self, at: Millis) -> i64 {
        (at / self.bucket_width).floor() as i64
    }

    /// Drops the buckets that begin at `from` or earlier.
    pub(super) fn drop_before(&mut self, from: Millis) {
        let last_dropped = self.index_at(from);
        while self.buckets.front().is_some_and(|bucket| bucket.index <= last_dropped) {
            self.buckets.pop_front();
        }
    }

    /// Adds units that were forwarded or not forwarded, by any gateway, at the time `at`.
    pub(super) fn add(&mut self, disposition: Disposition, at: Millis, units: f64) {
        let bucket = self.bucket_at(at);
        match disposition {
            Disposition::Forwarded => bucket.forwarded += units,
            Disposition::NotForwarded => bucket.not_forwarded += units,
        }
    }

    /// Records that units already added with [`SlidingWindow::add`] were forwarded by this gateway.
    pub(super) fn record_forwarded_locally(&mut self, at: Millis, units: f64) {
        self.bucket_at(at).forwarded_locally += units;
    }

    fn bucket_at(&mut self, at: Millis) -> &mut Bucket {
        let index = self.index_at(at);
        let position = self.buckets.partition_point(|bucket| bucket.index < index);
        if self.buckets.get(position).is_none_or(|bucket| bucket.index != index) {
            self.buckets.insert(position, Bucket { index, ..Bucket::default() });
        }
        &mut self.buckets[position]
    }

    /// Units of one disposition in the whole window.
    pub(super) fn total(&self, disposition: Disposition) -> f64 {
        self.buckets.iter().map(|bucket| bucket.units(disposition)).sum()
    }

    /// Units of both dispositions in the whole window.
    pub(super) fn demand(&self) -> f64 {
        self.total(Disposition::Forwarded) + self.total(Disposition::NotForwarded)
    }

    /// Units of both dispositions in the buckets that begin after `from`.
    pub(super) fn demand_since(&self, from: Millis) -> f64 {
        let last_excluded = self.index_at(from);
        let counted = self.buckets.iter().filter(|bucket| bucket.index > last_excluded);
        counted.map(|bucket| bucket.forwarded + bucket.not_forwarded).sum()
    }

    /// Units forwarded by this gateway in the whole window.
    pub(super) fn forwarded_locally(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.forwarded_locally).sum()
    }
}
