//! Measures what the limiter costs at the size of a fleet. `scale help` tells the commands.

use clap::{Parser, Subcommand};
use gateway_capacity::deployment::Deployment;
use gateway_capacity::measure::Report;
use gateway_capacity::simulated_fleet::{self, Play, Trouble};
use gateway_capacity::{memory, policy_cost, process};
use std::path::PathBuf;

#[derive(Parser)]
#[command(about = "What the limiter costs at the size of a fleet")]
struct Arguments {
    /// Prints JSON in place of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Processor time of one decision module, by servers, limiters and customers.
    PolicyCost {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
        /// Simulated seconds of each.
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
    },
    /// Memory of one decision module for each server, customer and open request.
    Memory {
        #[arg(long, default_value_t = 5)]
        repeats: usize,
    },
    /// A whole fleet on one simulated clock.
    SimulatedFleet {
        #[arg(long, default_value_t = 530)]
        gateways: usize,
        #[arg(long, default_value_t = 5_700)]
        servers: usize,
        #[arg(long, default_value_t = 28_000)]
        tenants: usize,
        /// Requests a second of the whole fleet.
        #[arg(long, default_value_t = 140_000.0)]
        rate: f64,
        /// Limiters that one customer comes in through; 0: all.
        #[arg(long, default_value_t = 0)]
        gateway_count: usize,
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Calls that the counter bears, as a share of the requests; 0: all.
        #[arg(long, default_value_t = 0.0)]
        bears: f64,
        #[arg(long, value_enum, default_value_t = Trouble::None)]
        trouble: Trouble,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Real limiters beside stand-ins on loopback.
    Process {
        /// What is measured.
        #[arg(value_enum)]
        part: Part,
        /// The limiter's program.
        #[arg(long, default_value = "target/release/rate-limiting-gateway")]
        limiter: PathBuf,
        #[arg(long, default_value_t = 5)]
        repeats: usize,
        #[arg(long, default_value_t = 5_700)]
        servers: usize,
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    #[command(hide = true)]
    MemoryOne { kind: String, many: usize },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Part {
    /// Time to ready, idling and changes, by servers.
    Lists,
    /// Memory by connections.
    Connections,
    /// Latency beside a direct connection, by requests a second.
    Latency,
    /// Time from SIGHUP to in force, by servers.
    Hangup,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = Arguments::parse();
    let report: Report = match arguments.command {
        Command::PolicyCost { repeats, seconds } => policy_cost::measure(repeats, seconds),
        Command::Memory { repeats } => memory::measure(repeats)?,
        Command::SimulatedFleet {
            gateways,
            servers,
            tenants,
            rate,
            gateway_count,
            seconds,
            bears,
            trouble,
            seed,
        } => {
            let zones = Deployment::default().zones;
            let deployment = Deployment { gateways, servers, tenants, rate, gateway_count, zones };
            simulated_fleet::play(&Play { deployment, seconds, bears, trouble, seed })
        }
        Command::Process { part, limiter, repeats, servers, seconds } => match part {
            Part::Lists => process::lists(&limiter, repeats)?,
            Part::Connections => process::connections(&limiter, repeats)?,
            Part::Latency => process::latency(&limiter, repeats, servers, seconds)?,
            Part::Hangup => process::hangup(&limiter, repeats)?,
        },
        Command::MemoryOne { kind, many } => {
            println!("{}", memory::one(&kind, many));
            return Ok(());
        }
    };
    match arguments.json {
        true => println!("{:#}", report.json()),
        false => print!("{}", report.text()),
    }
    Ok(())
}
