//! What a simulation counts, and the report of it.

use super::event::CallResult;
use super::servers::LoadSpread;
use crate::measure::Report;

/// Counts of the whole fleet, without those of the warm-up except where it is said.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetCounts {
    pub requests: usize,
    pub attempts: usize,
    pub rejected_requests: usize,
    /// Attempts that could not connect, the warm-up's among them.
    pub failed_attempts: usize,
    pub counter_calls: usize,
    pub timed_out_calls: usize,
    pub rejected_calls: usize,
    /// Bytes of counter calls and their replies.
    pub counter_bytes: usize,
    /// Endpoint list entries that gateways were notified of, the warm-up's among them.
    pub list_entries: usize,
}

impl FleetCounts {
    /// Adds a counter call.
    pub fn add_call(&mut self, result: CallResult, bytes: usize) {
        self.counter_calls += 1;
        self.counter_bytes += bytes;
        match result {
            CallResult::Answered => {}
            CallResult::TimedOut => self.timed_out_calls += 1,
            CallResult::Rejected => self.rejected_calls += 1,
        }
    }
}

/// Everything that a simulation reports.
pub(super) struct FleetFigures {
    pub counts: FleetCounts,
    /// Simulated seconds that were counted.
    pub seconds: f64,
    pub gateways: usize,
    /// Tenants that all gateways together remember in the end.
    pub remembered_tenants: usize,
    pub load: LoadSpread,
    pub cost: FleetCost,
}

/// What the simulation took of the machine.
pub(super) struct FleetCost {
    /// Processor time of a request, µs.
    pub processor_time: f64,
    /// Resident memory that the endpoint list takes at a gateway, bytes.
    pub list_memory: usize,
    /// Resident memory of the process in the end, bytes.
    pub resident_memory: usize,
}

impl FleetFigures {
    /// The figures by their names in reports.
    pub fn report(&self) -> Report {
        let mut report = Report::default();
        self.add_requests(&mut report);
        self.add_counter_calls(&mut report);
        self.add_state(&mut report);
        self.add_load(&mut report);
        self.add_cost(&mut report);
        report
    }

    fn add_requests(&self, report: &mut Report) {
        let counts = &self.counts;
        report.fact("requests", counts.requests as f64, "");
        report.fact("attempts a request", ratio(counts.attempts, counts.requests), "");
        report.fact("requests refused", ratio(counts.rejected_requests, counts.requests), "of all");
        let failed = ratio(counts.failed_attempts, counts.attempts);
        report.fact("attempts that could not connect", failed, "of all");
    }

    fn add_counter_calls(&self, report: &mut Report) {
        let counts = &self.counts;
        let calls = counts.counter_calls;
        report.fact("calls to the counter a request", ratio(calls, counts.requests), "");
        report.fact("calls a second, whole fleet", calls as f64 / self.seconds, "");
        report.fact("calls with no answer in time", ratio(counts.timed_out_calls, calls), "of all");
        report.fact("calls turned away", ratio(counts.rejected_calls, calls), "of all");
        let bytes = counts.counter_bytes as f64 / self.seconds / self.gateways as f64;
        report.fact("to and from the counter, a limiter", bytes, "bytes a second");
    }

    fn add_state(&self, report: &mut Report) {
        let tenants = ratio(self.remembered_tenants, self.gateways);
        report.fact("customers remembered, a limiter", tenants, "");
        report.fact("entries told by changes, whole fleet", self.counts.list_entries as f64, "");
    }

    fn add_load(&self, report: &mut Report) {
        let load = &self.load;
        report.fact("attempts a server, mean", load.mean, "");
        report.fact("attempts a server, greatest over mean", load.max / load.mean, "");
        report.fact("attempts a server, deviation over mean", load.deviation / load.mean, "");
        report.fact("the same by chance alone", 1.0 / load.mean.sqrt(), "");
        report.fact("servers that got nothing", load.idle as f64, "");
    }

    fn add_cost(&self, report: &mut Report) {
        let cost = &self.cost;
        report.fact("processor time a request, simulator included", cost.processor_time, "µs");
        report.fact("memory of the lists, a limiter", cost.list_memory as f64, "bytes");
        report.fact("memory in the end, whole fleet", cost.resident_memory as f64 / 1e9, "GB");
    }
}

fn ratio(value: usize, of: usize) -> f64 {
    value as f64 / of.max(1) as f64
}
