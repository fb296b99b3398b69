//! Measures the processor time and memory that a gateway needs, depending on the size of the fleet.
//! `capacity help` lists the commands.

use clap::{Args, Parser, Subcommand};
use gateway_capacity::deployment::Deployment;
use gateway_capacity::error::Error;
use gateway_capacity::measure::Report;
use gateway_capacity::simulated_fleet::{self, Fault, Scenario};
use gateway_capacity::{memory, policy_cost, process};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Measures the processor time and memory that a gateway needs, by size of the fleet")]
struct Arguments {
    /// Print the report as JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure the processor time of one gateway's decisions, by number of servers, gateways and tenants.
    PolicyCost {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
        /// Duration of each measurement in simulated seconds.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
    },
    /// Measure the memory of one gateway's state, by number of servers, tenants and requests in flight.
    Memory {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
    },
    /// Simulate a whole fleet on one simulated clock.
    SimulatedFleet(SimulatedFleetArguments),
    /// Measure real gateway processes that talk to stub peers on loopback.
    Process(ProcessArguments),
    /// Measure the memory of one kind of state. `memory` starts this command in a separate process.
    #[command(hide = true)]
    MemoryOne { kind: String, count: usize },
}

#[derive(Args)]
struct SimulatedFleetArguments {
    #[arg(long, default_value_t = 530)]
    gateways: usize,
    #[arg(long, default_value_t = 5_700)]
    servers: usize,
    #[arg(long, alias = "customers", default_value_t = 28_000)]
    tenants: usize,
    /// Requests per second of the whole fleet.
    #[arg(long, default_value_t = 140_000.0)]
    rate: f64,
    /// Number of gateways that receive one tenant's requests; 0 means all gateways.
    #[arg(long, aliases = ["spread", "gateway-count"], default_value_t = 0)]
    gateways_per_tenant: usize,
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Calls per second that the counter can execute, as a multiple of the requests per second; 0 means that
    /// there is no limit.
    #[arg(long = "bears", default_value_t = 0.0)]
    counter_capacity: f64,
    /// The server fault to simulate.
    #[arg(long, alias = "trouble", value_enum, default_value_t = Fault::None)]
    fault: Fault,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl SimulatedFleetArguments {
    fn scenario(&self) -> Scenario {
        let deployment = Deployment {
            gateways: self.gateways,
            servers: self.servers,
            tenants: self.tenants,
            rate: self.rate,
            gateways_per_tenant: self.gateways_per_tenant,
            zones: Deployment::default().zones,
        };
        Scenario {
            deployment,
            seconds: self.seconds,
            counter_capacity: self.counter_capacity,
            fault: self.fault,
            seed: self.seed,
        }
    }
}

#[derive(Args)]
struct ProcessArguments {
    /// What to measure.
    #[arg(value_enum)]
    part: ProcessMeasurement,
    /// Path of the gateway's executable.
    #[arg(long = "limiter", default_value = "target/release/rate-limiting-gateway")]
    program: PathBuf,
    #[arg(long, default_value_t = 5)]
    repeats: usize,
    #[arg(long, default_value_t = 5_700)]
    servers: usize,
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum ProcessMeasurement {
    /// Time until a gateway is ready, its idle cost and the cost of list changes, by number of servers.
    Lists,
    /// Memory, by number of client connections.
    Connections,
    /// Latency through a gateway compared with a direct connection, by requests per second.
    Latency,
    /// Time from SIGHUP until the new configuration is in effect, by number of servers.
    #[value(name = "hangup")]
    Reload,
}

impl ProcessArguments {
    fn measure(&self) -> Result<Report, Error> {
        match self.part {
            ProcessMeasurement::Lists => process::lists::measure(&self.program, self.repeats),
            ProcessMeasurement::Connections => process::connections::measure(&self.program, self.repeats),
            ProcessMeasurement::Latency => {
                process::latency::measure(&self.program, self.repeats, self.servers, self.seconds)
            }
            ProcessMeasurement::Reload => process::reload::measure(&self.program, self.repeats),
        }
    }
}

impl Command {
    /// Runs the command and returns its report. `memory-one` prints its single figure itself and returns
    /// `None`.
    fn run(&self) -> Result<Option<Report>, Error> {
        match self {
            Command::PolicyCost { repeats, seconds } => Ok(Some(policy_cost::measure(*repeats, *seconds))),
            Command::Memory { repeats } => memory::measure(*repeats).map(Some),
            Command::SimulatedFleet(fleet) => Ok(Some(simulated_fleet::run(&fleet.scenario()))),
            Command::Process(process) => process.measure().map(Some),
            Command::MemoryOne { kind, count } => {
                println!("{}", memory::measure_in_this_process(kind, *count)?);
                Ok(None)
            }
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command.run() {
        Ok(None) => {}
        Ok(Some(report)) if arguments.json => println!("{:#}", report.json()),
        Ok(Some(report)) => print!("{}", report.text()),
        Err(error) => {
            eprintln!("capacity: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
