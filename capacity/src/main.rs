//! Measures what a gateway costs at the size of a fleet. `capacity help` lists the commands.

use clap::{Args, Parser, Subcommand};
use gateway_capacity::deployment::Deployment;
use gateway_capacity::error::Error;
use gateway_capacity::measure::Report;
use gateway_capacity::simulated_fleet::{self, Fault, Scenario};
use gateway_capacity::{memory, policy_cost, process};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "What a gateway costs at the size of a fleet")]
struct Arguments {
    /// Print JSON in place of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Processor time of one gateway's decisions, by servers, gateways and tenants.
    PolicyCost {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
        /// Simulated seconds of each measurement.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
    },
    /// Memory of one gateway's decisions for each server, tenant and request in flight.
    Memory {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
    },
    /// A whole fleet on one simulated clock.
    SimulatedFleet(SimulatedFleetArguments),
    /// Real gateways beside stub peers on loopback.
    Process(ProcessArguments),
    /// Memory of one kind, in a process of its own: what `memory` starts.
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
    /// Requests a second of the whole fleet.
    #[arg(long, default_value_t = 140_000.0)]
    rate: f64,
    /// Gateways through which one tenant's requests come in; 0: all.
    #[arg(long, aliases = ["spread", "gateway-count"], default_value_t = 0)]
    gateways_per_tenant: usize,
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Calls that the counter executes, as a share of the requests; 0: any number.
    #[arg(long = "bears", default_value_t = 0.0)]
    counter_capacity: f64,
    /// What happens to the servers.
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
    /// What is measured.
    #[arg(value_enum)]
    part: Part,
    /// The gateway's program.
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
enum Part {
    /// Time to ready, idle cost and list changes, by servers.
    Lists,
    /// Memory by connections.
    Connections,
    /// Latency beside a direct connection, by requests a second.
    Latency,
    /// Time from SIGHUP to the new configuration in force, by servers.
    #[value(name = "hangup")]
    Reload,
}

impl ProcessArguments {
    fn measure(&self) -> Result<Report, Error> {
        match self.part {
            Part::Lists => process::lists::measure(&self.program, self.repeats),
            Part::Connections => process::connections::measure(&self.program, self.repeats),
            Part::Latency => {
                process::latency::measure(&self.program, self.repeats, self.servers, self.seconds)
            }
            Part::Reload => process::reload::measure(&self.program, self.repeats),
        }
    }
}

impl Command {
    /// Runs the command; `memory-one` prints its only figure itself and has no report.
    fn run(&self) -> Result<Option<Report>, Error> {
        match self {
            Command::PolicyCost { repeats, seconds } => Ok(Some(policy_cost::measure(*repeats, *seconds))),
            Command::Memory { repeats } => memory::measure(*repeats).map(Some),
            Command::SimulatedFleet(fleet) => Ok(Some(simulated_fleet::run(&fleet.scenario()))),
            Command::Process(process) => process.measure().map(Some),
            Command::MemoryOne { kind, count } => {
                println!("{}", memory::measure_here(kind, *count)?);
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
