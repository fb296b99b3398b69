//! The list of servers, and the server that an attempt goes to.

use super::*;

/// Weight of a new sample in a server's or class's mean answer time: about the last ten.
const MEAN_GAIN: f64 = 0.1;
/// The same for an attempt that was given up.
const LOST_GAIN: f64 = 0.4;
/// A server not heard of drifts back to the fleet's mean with this time constant, ms.
const FORGET: Millis = 4000.0;
/// A gateway keeps to as many servers as it sends requests in this time, ms, or to the least: so it hears of
/// each every few seconds, however many there are.
const SUBSET_SPAN: Millis = 3000.0;
const SUBSET_LEAST: f64 = 8.0;
/// With a subset, what is known of a server is kept this many times longer.
const SUBSET_FORGET: f64 = 3.0;
/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 3;
/// First ejection, ms; doubles up to eight times this.
const EJECT_FOR: Millis = 1000.0;
/// A server that turned a request away as full is passed over for this long, ms.
const FULL_PAUSE: Millis = 100.0;
/// That pause is this many times longer where a server is met every few seconds only.
const RARE_PAUSE: f64 = 20.0;

/// Leaves room for rounding where a cost is bounded from below.
const NEARLY: f64 = 0.999;

impl Gateway {
    pub(super) fn list(&mut self, now: Millis, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            return self.acts.push(Action::Watch);
        }
        if update != ListUpdate::Delta {
            self.servers.begin_list();
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(entry.server);
                continue;
            }
            let (started, fleet) = (entry.started, self.flow.mean);
            let place = self.servers.enter(entry.server);
            let known = self.servers.at_mut(place);
            if known.heard == 0.0 || known.entry.started != started {
                // A new process: what was known of the old one is void, but its attempts still end.
                let (out, mean) = (known.out, fleet);
                *known = Server { out, mean, heard: now, tokens_at: started, ..Server::default() };
            }
            known.entry = entry;
            self.servers.group(place);
            self.review(now, place);
        }
        if update != ListUpdate::Delta {
            self.servers.drop_unlisted();
        }
        if self.flow.limit <= 0.0 {
            self.flow.limit = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
        }
    }

    /// Counts a server by what is known of it now, until time alone changes that.
    fn review(&mut self, now: Millis, place: Place) {
        let s = self.servers.at(place);
        let standing = Standing {
            ready: s.entry.state == ServerState::Ready,
            paused: s.paused_until > now,
            healthy: s.ejected_until <= now && (s.fails < EJECT_AFTER || s.out < 1.0),
            reachable: !s.unreachable,
            warm: self.warmth(now, s) >= 1.0,
        };
        let (ejected, warm_at) = (s.ejected_until > now, s.entry.started + self.set.warm_after);
        let ends = [(standing.paused, s.paused_until), (ejected, s.ejected_until), (!standing.warm, warm_at)];
        let until = ends.into_iter().filter(|e| e.0).map(|e| e.1).fold(Millis::INFINITY, Millis::min);
        self.servers.stand(place, standing, until);
    }

    /// Counts an attempt as out at its server.
    pub(super) fn sent_to(&mut self, now: Millis, server: ServerId) {
        let Some(place) = self.servers.find(server) else { return };
        let s = self.servers.at_mut(place);
        s.out += 1.0;
        s.tokens -= 1.0;
        self.review(now, place);
    }

    /// The cheapest server a request may go to: mean answer time times what is out there already.
    pub(super) fn choose(&mut self, now: Millis, open: &Open) -> Option<ServerId> {
        for place in self.servers.due(now) {
            self.review(now, place);
        }
        let ran = open.attempts.iter().find(|a| a.may_have_run).copied();
        let home = ran.and_then(|a| self.servers.get(&a.server)).map(|s| (s.entry.zone, s.entry.cell));
        let per_server = self.flow.send_rate / self.servers.warm.max(1) as f64;
        let ready = self.servers.ready;
        // Subsetting: danger is that evidence of each server comes too rarely to act on. Of a subset, in an
        // order of this gateway's own, two are compared: all compared would send many gateways to one server
        // at once. It covers every kind of slowness and hurts by uneven shares.
        let size = (self.flow.send_rate * SUBSET_SPAN).max(SUBSET_LEAST);
        let subset = size < ready as f64;
        self.flow.subset = subset;
        let repeat = open.class.repeat;
        let anywhere =
            ran.is_none() || matches!(repeat, Repeat::Safe | Repeat::Keyed { group: Group::All, .. });
        let group = match repeat {
            Repeat::Keyed { group: Group::Zone, .. } => home.map(|h| Tag::Zone(h.0)),
            Repeat::Keyed { group: Group::Cell, .. } => home.map(|h| Tag::Cell(h.1)),
            _ => None,
        };
        let met = open.attempts.iter().filter(|a| a.live || ready > 1);
        let met: Vec<Place> = met.filter_map(|a| self.servers.find(a.server)).collect();
        // Ejection holds while half of the fleet is sound; past that, slowness is everyone's and only
        // servers that cannot be reached stay out.
        let ejecting = 2 * self.servers.healthy >= ready;
        let mut walk = std::mem::take(&mut self.walk);
        walk.begin(if subset { size.ceil() as usize } else { usize::MAX });
        for b in 0..self.servers.blocks.len() {
            if walk.room() == 0 {
                break;
            }
            let block = &self.servers.blocks[b];
            let mut able = block.sound | if ejecting { 0 } else { block.ailing };
            able &= !met.iter().filter(|m| m.0 == b).fold(0, |bits, m| bits | 1 << m.1);
            self.looks += 1;
            if !anywhere {
                able &= group.map_or(0, |group| block.of(group));
            }
            for i in ones(able & block.cold) {
                if (able & below(i)).count_ones() as usize >= walk.room() {
                    break;
                }
                self.looks += 1;
                if !self.cold_start_allows(now, (b, i), per_server) {
                    able &= !(1 << i);
                }
            }
            walk.take(b, able, self.servers.blocks[b].slots.len());
        }
        // Each server passed has a draw of its own, whether it is used or not.
        let mut draws = Draws::new(self.rng.clone());
        self.rng.advance(walk.passed as u128);
        let mut best = (Millis::INFINITY, None);
        if subset && walk.count > 2 {
            let first = (self.chance() * walk.count as f64) as usize;
            let other = (first + 1 + (self.chance() * (walk.count - 1) as f64) as usize) % walk.count;
            for (place, rank) in [first, other].into_iter().filter_map(|n| walk.nth(n)) {
                self.compare(now, place, draws.at(rank), &mut best);
            }
        } else {
            for (place, rank) in walk.all() {
                self.compare(now, place, draws.at(rank), &mut best);
            }
        }
        self.walk = walk;
        best.1
    }

    /// Takes a server as the best if it is cheaper.
    fn compare(&mut self, now: Millis, place: Place, roll: f64, best: &mut (Millis, Option<ServerId>)) {
        self.looks += 1;
        let (s, fleet) = (self.servers.at(place), self.flow.mean.max(1.0));
        let cost = |mean: Millis| mean * (1.0 + s.out) * (1.0 + 0.1 * roll) / self.warmth(now, s);
        let mean = if s.mean > 0.0 { s.mean } else { fleet };
        // What it is taken for lies between its own mean and the fleet's: most need no closer look.
        if cost(mean.min(fleet)) * NEARLY > best.0 {
            return;
        }
        let slack = if self.flow.subset { SUBSET_FORGET } else { 1.0 };
        let stale = (-(now - s.heard).max(0.0) / (FORGET * slack)).exp();
        let cost = cost(fleet + (mean - fleet) * stale);
        if best.1.is_none() || cost < best.0 {
            *best = (cost, Some(s.entry.server));
        }
    }

    /// Takes the end of an attempt as evidence of its server's health.
    pub(super) fn learn(&mut self, now: Millis, server: ServerId, outcome: Outcome, took: Millis) {
        let rare = self.flow.subset;
        let Some(place) = self.servers.find(server) else { return };
        let s = self.servers.at_mut(place);
        s.out = (s.out - 1.0).max(0.0);
        match outcome {
            Outcome::Moot => return self.review(now, place),
            Outcome::Full => s.paused_until = now + FULL_PAUSE * if rare { RARE_PAUSE } else { 1.0 },
            Outcome::Ok => {
                (s.fails, s.ejections, s.unreachable) = (0, 0, false);
                self.flow.mean += if self.flow.mean > 0.0 { 0.02 * (took - self.flow.mean) } else { took };
            }
            Outcome::Cancelled => {}
            _ => {
                s.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
                // A server that fails at once looks quick. Where each is met rarely, the first such failure
                // has to do, and the ejection to outlast the time between two requests to it.
                s.fails += if rare && outcome != Outcome::TimedOut { EJECT_AFTER } else { 1 };
                if s.fails >= EJECT_AFTER {
                    let span = EJECT_FOR * if rare { SUBSET_FORGET } else { 1.0 };
                    s.ejected_until = now + span * f64::from(1 << s.ejections.min(3));
                    s.ejections += 1;
                }
            }
        }
        // A call that was given up took at least this long; one that ended early tells nothing of speed.
        let given_up = outcome == Outcome::Cancelled && took > s.mean;
        if given_up || matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            // With few samples an attempt that found no end may be the only sign of a slow server.
            let gain = if outcome == Outcome::Ok || !rare { MEAN_GAIN } else { LOST_GAIN };
            s.mean = if s.mean > 0.0 { s.mean + gain * (took - s.mean) } else { took };
            s.heard = now;
        }
        self.review(now, place);
    }
}
