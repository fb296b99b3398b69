//! A sliding window of unit counts in buckets of equal width.

use super::disposition::Disposition;
use crate::ids::Millis;
use std::collections::VecDeque;

/// Counts of one bucket of time.
#[derive(Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket: its start over the width.
    index: i64,
    /// Accepted by this gateway.
    forwarded_here: f64,
    /// Accepted by all gateways, as far as known.
    forwarded: f64,
    /// Declined by all gateways, as far as known.
    not_forwarded: f64,
}

impl Bucket {
    fn of(&self, disposition: Disposition) -> f64 {
        match disposition {
            Disposition::Forwarded => self.forwarded,
            Disposition::NotForwarded => self.not_forwarded,
        }
    }
}

/// Units by the time at which they were asked for.
pub(super) struct SlidingWindow {
    bucket_width: Millis,
    /// Ordered by index.
    buckets: VecDeque<Bucket>,
}

impl SlidingWindow {
    /// An empty window of buckets of this width, ms.
    pub(super) fn new(bucket_width: Millis) -> Self {
        SlidingWindow { bucket_width, buckets: VecDeque::new() }
    }

    fn index_at(&self, at: Millis) -> i64 {
        (at / self.bucket_width).floor() as i64
    }

    /// Drops the buckets that began at `from` or before.
    pub(super) fn drop_before(&mut self, from: Millis) {
        let last_dropped = self.index_at(from);
        while self.buckets.front().is_some_and(|bucket| bucket.index <= last_dropped) {
            self.buckets.pop_front();
        }
    }

    /// Adds units that were decided on at a time, at any gateway.
    pub(super) fn add(&mut self, disposition: Disposition, at: Millis, units: f64) {
        let bucket = self.bucket_at(at);
        match disposition {
            Disposition::Forwarded => bucket.forwarded += units,
            Disposition::NotForwarded => bucket.not_forwarded += units,
        }
    }

    /// Notes that units already added with [`SlidingWindow::add`] were accepted by this gateway.
    pub(super) fn note_forwarded_here(&mut self, at: Millis, units: f64) {
        self.bucket_at(at).forwarded_here += units;
    }

    fn bucket_at(&mut self, at: Millis) -> &mut Bucket {
        let index = self.index_at(at);
        let position = self.buckets.partition_point(|bucket| bucket.index < index);
        if self.buckets.get(position).is_none_or(|bucket| bucket.index != index) {
            self.buckets.insert(position, Bucket { index, ..Bucket::default() });
        }
        &mut self.buckets[position]
    }

    /// Units of one disposition in the window.
    pub(super) fn total(&self, disposition: Disposition) -> f64 {
        self.buckets.iter().map(|bucket| bucket.of(disposition)).sum()
    }

    /// Units of both dispositions in the window.
    pub(super) fn demand(&self) -> f64 {
        self.total(Disposition::Forwarded) + self.total(Disposition::NotForwarded)
    }

    /// Units of both dispositions in the buckets that began after `from`.
    pub(super) fn demand_since(&self, from: Millis) -> f64 {
        let last_excluded = self.index_at(from);
        let counted = self.buckets.iter().filter(|bucket| bucket.index > last_excluded);
        counted.map(|bucket| bucket.forwarded + bucket.not_forwarded).sum()
    }

    /// Units accepted by this gateway in the window.
    pub(super) fn forwarded_here(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.forwarded_here).sum()
    }
}
