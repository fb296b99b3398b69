//! Runs gateways for the simulator: reads frames from standard input and writes replies to standard output.
//! The process exits successfully when the input ends. It exits with a failure if the input violates the
//! protocol, or if reading or writing fails.

use rate_limiting_gateway::simulator::GatewayHost;
use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match GatewayHost::default().run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
