//! The figures of a simulation and their report.

use super::event::CallResult;
use super::servers::LoadDistribution;
use crate::measure::Report;

/// Counts of the whole fleet. They exclude the warm-up unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetCounts {
    pub requests: usize,
    pub attempts: usize,
    pub rejected_requests: usize,
    /// Attempts that failed to connect or whose server stopped, including those of the warm-up.
    pub failed_attempts: usize,
    pub counter_calls: usize,
    pub timed_out_calls: usize,
    pub rejected_calls: usize,
    /// Bytes of the counter calls and their replies.
    pub counter_bytes: usize,
    /// Entries in the incremental endpoint lists that all gateways received, including the warm-up.
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

/// All figures that a simulation reports.
pub(super) struct FleetFigures {
    pub counts: FleetCounts,
    /// Simulated time after the warm-up, s.
    pub seconds: f64,
    pub gateways: usize,
    /// Sum over all gateways of the tenants that each keeps state for at the end.
    pub remembered_tenants: usize,
    pub load: LoadDistribution,
    pub cost: SimulationCost,
}

/// Processor time and memory that the simulation itself used.
pub(super) struct SimulationCost {
    /// Processor time for each request, µs.
    pub processor_time: f64,
    /// Resident memory of the endpoint list at one gateway, bytes.
    pub list_memory: usize,
    /// Resident memory of the process at the end, bytes.
    pub resident_memory: usize,
}

impl FleetFigures {
    /// Creates the report with the label of each figure.
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
        report.add_fact("requests", counts.requests as f64, "");
        report.add_fact("attempts a request", ratio(counts.attempts, counts.requests), "");
        report.add_fact("requests refused", ratio(counts.rejected_requests, counts.requests), "of all");
        let failed = ratio(counts.failed_attempts, counts.attempts);
        report.add_fact("attempts that could not connect", failed, "of all");
    }

    fn add_counter_calls(&self, report: &mut Report) {
        let counts = &self.counts;
        let calls = counts.counter_calls;
        report.add_fact("calls to the counter a request", ratio(calls, counts.requests), "");
        report.add_fact("calls a second, whole fleet", calls as f64 / self.seconds, "");
        report.add_fact("calls with no answer in time", ratio(counts.timed_out_calls, calls), "of all");
        report.add_fact("calls turned away", ratio(counts.rejected_calls, calls), "of all");
        let bytes = counts.counter_bytes as f64 / self.seconds / self.gateways as f64;
        report.add_fact("to and from the counter, a limiter", bytes, "bytes a second");
    }

    fn add_state(&self, report: &mut Report) {
        let tenants = ratio(self.remembered_tenants, self.gateways);
        report.add_fact("customers remembered, a limiter", tenants, "");
        report.add_fact("entries told by changes, whole fleet", self.counts.list_entries as f64, "");
    }

    fn add_load(&self, report: &mut Report) {
        let load = &self.load;
        report.add_fact("attempts a server, mean", load.mean, "");
        report.add_fact("attempts a server, greatest over mean", load.max / load.mean, "");
        report.add_fact("attempts a server, deviation over mean", load.deviation / load.mean, "");
        report.add_fact("the same by chance alone", 1.0 / load.mean.sqrt(), "");
        report.add_fact("servers that got nothing", load.idle as f64, "");
    }

    fn add_cost(&self, report: &mut Report) {
        let cost = &self.cost;
        report.add_fact("processor time a request, simulator included", cost.processor_time, "µs");
        report.add_fact("memory of the lists, a limiter", cost.list_memory as f64, "bytes");
        report.add_fact("memory in the end, whole fleet", cost.resident_memory as f64 / 1e9, "GB");
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
