//! Sparse customers: those of which each gateway sees too little to batch. In a fleet of a hundred gateways
//! it is almost everyone; a gateway then knows nothing of a customer that it has not just read.
//!
//! So the count of such a customer is kept where all can act on it at once. The name holds the units accepted
//! since it began; less what the rate has yielded since, that is the use in the sliding window, and one
//! call both books a request and tells that use. What is declined is taken back. Danger is that gateways that
//! each estimate a rate all let the same excess in, or all refuse the same room; it covers skewed traffic,
//! spikes and restarts without memory, and it hurts by a call where no read is fresh: a batch of one.

use super::*;

/// A customer whose ceiling holds it anyway gives way to the others on a crowded counter: power of the pace.
const CAPPED_PACE: f64 = 3.0;
/// A total that lags what the rate has yielded by more than this share of the burst is raised: room saved up
/// beyond the burst would else be let in at once. Smaller lags are left, which spares calls.
const LAG: f64 = 1.0;
/// Weight of a new sample in the share of a customer's requests that were declined, and the time constant at
/// which that share is forgotten, ms: overuse lasts for seconds to hours.
const DENIED_GAIN: f64 = 0.3;
const HABIT: Millis = 30_000.0;
/// Least chance of a call for such a customer, unless the others' is smaller.
const CALL_LEAST: f64 = 0.1;

impl Customer {
    /// The name of this customer's present count, and what the rate has yielded since it began. Customers'
    /// names are staggered by their numbers: all ending at once would bring on corrections of all together.
    /// What a name before still holds is forgiven, a burst at most: reading it would cost more calls.
    fn count(&self, customer: CustomerId, now: Millis) -> (CountName, f64) {
        let phased = now + (customer.0 % 64) as f64 / 64.0 * EPOCH;
        let name = Gateway::name(customer, ACCEPTED, (phased / EPOCH).floor() as i64);
        (name, self.plan.rate * phased.rem_euclid(EPOCH) / 1000.0)
    }

    /// Chance with which a call is made.
    fn call_chance(&self, pace: f64) -> f64 {
        let power = if self.plan.ceiling_rate > 0.0 { CAPPED_PACE } else { 1.0 };
        pace.powf(-power).max(CALL_LEAST.min(1.0 / pace))
    }

    /// Share of this customer's requests that were lately declined: the suppression factor where no count was
    /// read for a request.
    pub(super) fn denied(&self, now: Millis) -> f64 {
        self.denied.map_or(0.0, |(at, share)| share * (-(now - at) / HABIT).exp())
    }

    /// What was let in on a fresh read is told later.
    pub(super) fn sent_on(&mut self, open: &Open) {
        if let (Some(_), Some((_, used))) = (open.used, &mut self.view) {
            *used += open.request.units;
            self.tallies[ACCEPTED].pending += if open.booked.is_none() { open.request.units } else { 0.0 };
        }
    }

    fn learn_denied(&mut self, now: Millis, refused: bool) {
        let before = self.denied(now);
        self.denied = Some((now, before + DENIED_GAIN * (f64::from(u8::from(refused)) - before)));
    }
}

impl Gateway {
    /// Books a sparse customer's request on the counter, fewer by chance while that is crowded; what was read
    /// within the shortest time between two syncs still holds.
    pub(super) fn ask(&mut self, now: Millis, open: &mut Open) {
        let (roll, customer, units) = (self.chance(), open.request.customer, open.request.units);
        let counting = self.set.counter && now >= self.flow.count_after;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.sparse && counting) else { return };
        if let Some((_, used)) = c.view.filter(|(at, _)| now - at < SYNC_EVERY) {
            open.used = Some(used + units);
            return;
        }
        let chance = c.call_chance(self.flow.pace);
        if roll < chance {
            let (weight, told) = (units / chance, std::mem::take(&mut c.tallies[ACCEPTED].pending));
            let name = c.count(customer, now).0;
            (open.booked, open.asked) = (Some((name, weight)), true);
            self.call_counter(customer, name, weight + told, Some(open.request.id));
        }
    }

    /// Tells what was let in on a fresh read.
    pub(super) fn flush_sparse(&mut self, now: Millis, customer: CustomerId) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.view.is_some_and(|(at, _)| now - at < SYNC_EVERY * self.flow.pace) {
            return;
        }
        let (add, name) = (std::mem::take(&mut c.tallies[ACCEPTED].pending), c.count(customer, now).0);
        self.unsynced.remove(&customer);
        if add > 0.0 {
            self.call_counter(customer, name, add, None);
        }
    }

    fn call_counter(&mut self, customer: CustomerId, name: CountName, add: f64, books: Option<RequestId>) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.calls_out.push_back((name, books));
        self.calls.insert(name, (customer, ACCEPTED));
        self.acts.push(Action::Count { name, add, ttl: NAME_TTL });
    }

    /// A call for a sparse customer has ended; calls of one name end in their order.
    pub(super) fn call_done(&mut self, now: Millis, who: CustomerId, name: CountName, total: Option<f64>) {
        let Some(c) = self.customers.get_mut(&who) else { return };
        let Some(place) = c.calls_out.iter().position(|(n, _)| *n == name) else { return };
        let books = c.calls_out.remove(place).and_then(|(_, books)| books);
        if c.calls_out.iter().any(|(n, _)| *n == name) {
            self.calls.insert(name, (who, ACCEPTED));
        }
        if let Some(id) = books {
            self.booked(now, id, total);
        }
    }

    /// A request's count is read, or was not to be had.
    fn booked(&mut self, now: Millis, id: RequestId, total: Option<f64>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.asked = false;
        let (customer, units) = (open.request.customer, open.request.units);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let Some((total, (name, weight))) = total.zip(open.booked) else {
            // It may have been added: the name then holds too much, and what is let in is too little.
            open.booked = None;
            return;
        };
        let (present, yielded) = c.count(customer, now);
        let (others, burst) = (total - weight - yielded, c.plan.burst);
        open.used = Some(others.max(0.0) + units);
        c.view = Some((now, others.max(0.0)));
        // Far over, two gateways have raised it at once.
        if present == name && (others < -LAG * burst || others > 2.0 * burst) {
            let right = if others < 0.0 { 0.0 } else { 2.0 * burst };
            self.call_counter(customer, name, right - others, None);
        }
    }

    /// Takes back what was booked for a request that was not sent; what stands for requests that were let in
    /// without a call stays. On a crowded counter fewer calls each take back more: those left over are worth
    /// more as reads.
    pub(super) fn take_back(&mut self, now: Millis, who: CustomerId, units: f64, booked: (CountName, f64)) {
        let Some(c) = self.customers.get_mut(&who) else { return };
        let back = units + (booked.1 - units) * c.denied(now);
        let chance = c.call_chance(self.flow.pace);
        if self.chance() < chance && now >= self.flow.count_after {
            self.call_counter(who, booked.0, -back / chance, None);
        }
    }

    /// Quota admission of a sparse customer: by the use just read, or by its habit.
    pub(super) fn admit_sparse(&mut self, now: Millis, id: RequestId, roll: f64) -> Verdict {
        let Some(open) = self.open.get_mut(&id) else { return Verdict::Refuse };
        let Some(c) = self.customers.get_mut(&open.request.customer) else { return Verdict::Refuse };
        if open.asked && now - open.arrived < COUNT_SHARE * open.class.aim {
            return Verdict::Wait;
        }
        let plan = c.plan.clone();
        if !open.passed {
            let within = match open.used {
                // The use in a window of burst / rate over the burst is the perceived rate over the rate.
                Some(used) => used <= plan.burst * HARD_FACTOR && roll >= 1.0 - plan.burst / used,
                None => roll >= c.denied(now),
            };
            if open.used.is_some() {
                c.learn_denied(now, !within);
            }
            open.passed = within;
        }
        let short = plan.ceiling_rate > 0.0 && c.lease < open.request.units;
        match open.passed {
            true if short => Verdict::Wait,
            true => Verdict::Within,
            false => Verdict::Refuse,
        }
    }
}
