//! The gateway program. It serves clients on sockets; [`rate_limiting_gateway::policy`] makes the decisions.

use rate_limiting_gateway::config::{Config, ConfigError};
use rate_limiting_gateway::net::logging;
use rate_limiting_gateway::net::serve::{serve, ServeError};
use std::process::ExitCode;
use thiserror::Error;
use tokio::task::JoinError;

/// Environment variable that holds the path of the configuration file.
const CONFIG_PATH_VARIABLE: &str = "PROXY_CONFIG";
/// Path of the configuration file if [`CONFIG_PATH_VARIABLE`] is not set.
const DEFAULT_CONFIG_PATH: &str = "/run/balancer/config.json";

/// The reason why the process ends with a failure.
#[derive(Debug, Error)]
enum ProcessError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Task(#[from] JoinError),
}

fn main() -> ExitCode {
    logging::init();
    match serve_until_shutdown() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("gateway process is exiting with a failure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_until_shutdown() -> Result<(), ProcessError> {
    let config_path = std::env::var(CONFIG_PATH_VARIABLE).unwrap_or_else(|_| DEFAULT_CONFIG_PATH.to_owned());
    let config = Config::load(&config_path)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ProcessError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    // The gateway runs as a spawned task, because a future passed to `block_on` directly would be polled each
    // time any task wakes.
    let serve_task = local.spawn_local(serve(config, config_path));
    local.block_on(&runtime, serve_task)??;
    Ok(())
}
