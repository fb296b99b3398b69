//! Slow start: what a cold server may be sent, so that it does not fall under the sum of what all send.

use super::*;

/// At full load all gateways together send a cold server this share of what makes it fall, on the mean, at
/// most: the rest is for chance.
const EXPECTED: f64 = 0.5;

impl Gateway {
    /// Share of its full capacity that a server surely has by now.
    pub(super) fn warmth(&self, now: Millis, server: &Server) -> f64 {
        let age = now - server.entry.started;
        if server.entry.started <= 0.0 || age >= self.set.warm_after {
            return 1.0;
        }
        self.set.cold_start + (1.0 - self.set.cold_start) * (age / self.set.warm_after).max(0.0)
    }

    /// The cold server that this request is for, if it is for one. A lottery over all servers: each is drawn
    /// equally often, and a cold one keeps what it has drawn by the share of its capacity that it surely has.
    /// So all gateways together send it that share of an equal part, however many they are and however little
    /// each sends, and nothing is saved up that they could send at once. Danger is toppling it. It hurts what
    /// the cold could do beyond their part, and further attempts, which find only warm servers.
    pub(super) fn cold_pick(&self, now: Millis, open: &Open) -> Option<ServerId> {
        if !open.attempts.is_empty() || self.servers.warm == self.servers.len() {
            return None;
        }
        // The draw is the request's own: one that is held and looked at again does not draw anew.
        let draw = scramble(self.servers.salt ^ u64::from(open.request.id.0));
        let rank = ((draw >> 32) * self.servers.len() as u64) >> 32;
        let s = self.servers.nth(rank as usize)?;
        let warmth = self.warmth(now, s);
        let size = if s.entry.weight > 0.0 { (s.entry.weight / self.flow.size).min(1.0) } else { 1.0 };
        let factor = self.set.overload_factor;
        let spared = if factor > 0.0 { (EXPECTED * factor).min(1.0) } else { 1.0 };
        let able = s.entry.state == ServerState::Ready && s.paused_until.max(s.ejected_until) <= now;
        let kept = (draw & 0xffff_ffff) as f64 / (1u64 << 32) as f64 <= warmth * size * spared;
        (warmth < 1.0 && able && kept).then_some(s.entry.server)
    }
}

/// Spreads a number over all 64 bits (the finalizer of SplitMix64).
fn scramble(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
