//! Runs gateways for the simulator: frames come on standard input, replies go to standard output. Ends with
//! the input; input that violates the protocol ends it with an error.

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
