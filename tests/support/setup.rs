//! The configuration that a gateway is started with.

use super::{endpoint_list, eventually, Counter, Discovery, GatewayProcess};
use std::net::SocketAddr;

/// The configuration and the limits that a gateway process is started with.
pub struct Setup {
    /// The address that the gateway listens on.
    pub listen: String,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address of the counter.
    pub counter: SocketAddr,
    /// The endpoint list, as JSON, that the gateway has when it starts.
    pub initial_list: String,
    /// Number of sockets that the gateway may use.
    pub sockets: usize,
    /// Memory that the gateway may use, MB.
    pub memory_mb: f64,
    /// Limit on the file descriptors of the process, which the shell sets. `None` sets no limit.
    pub descriptor_limit: Option<usize>,
    /// Time after which an idle connection is closed, ms.
    pub idle_timeout: f64,
    /// Timeout for connecting to a server, ms.
    pub connect_timeout: f64,
    /// Timeout of a counter call, ms.
    pub counter_timeout: f64,
    /// Whether the gateway may cancel attempts.
    pub cancellation_allowed: bool,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// The JSON of the only plan.
    pub plan: &'static str,
    /// Settings that replace those built from the fields above.
    pub settings: Option<serde_json::Value>,
}

/// A plan whose quota is so large that no test reaches it.
pub const LARGE_QUOTA_PLAN: &str = r#"{"name":"team","rate":100000,"store_size":100000}"#;

/// Returns the JSON of a request class in the configuration file. `goal_time` and `deadline` are in ms.
fn class(name: &str, idempotency: &str, goal_time: u32, deadline: u32) -> String {
    format!(
        r#"{{"name":"{name}","deadline":{deadline},"goal_time":{goal_time},"importance":2,"idempotency":"{idempotency}","group":"all","repeat_window":25000,"late_value":0}}"#
    )
}

impl Setup {
    /// Creates a setup with default values.
    pub fn new(discovery: SocketAddr, counter: SocketAddr, initial_list: &str) -> Setup {
        Setup {
            listen: "127.0.0.1:0".into(),
            discovery,
            counter,
            initial_list: initial_list.into(),
            sockets: 1024,
            memory_mb: 192.0,
            descriptor_limit: None,
            idle_timeout: 15_000.0,
            connect_timeout: 250.0,
            counter_timeout: 50.0,
            cancellation_allowed: true,
            gateways: 2,
            plan: LARGE_QUOTA_PLAN,
            settings: None,
        }
    }

    /// Returns the content of the configuration file.
    pub fn config(&self) -> String {
        let Some(settings) = &self.settings else { return self.default_config() };
        let mut config: serde_json::Value = serde_json::from_str(&self.default_config())
            .expect("the default configuration is not valid JSON");
        config["settings"] = settings.clone();
        config.to_string()
    }

    fn default_config(&self) -> String {
        let classes = [
            class("look", "free", 1500, 2000),
            class("book", "guarded", 1500, 2000),
            class("once", "single_shot", 1500, 2000),
            class("long", "single_shot", 20_000, 30_000),
        ];
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","counter":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":{},"memory_mb":{}}},"known":{},
            "settings":{{"balancers":{},"areas":["a","b"],"zone":0,"discovery":"pushed","classes":[{}],"plans":[{}],
            "report":{{"source":"answers","columns":["queue"]}},
            "ceilings":{{"conn_idle":{},"connect_timeout":{},"max_attempts":4,"cancelling":{},"parallel_tries":true,"retry_after":true,"max_retry_after":1000}},
            "family_info":{{"shared_counter":true,"counter_timeout":{},"max_units":2}},
            "safety":{{"start_capacity":0.16,"warm_after":16000,"overload_factor":2,"tip_after":1000}}}}}}"#,
            self.listen,
            self.discovery,
            self.counter,
            self.sockets,
            self.memory_mb,
            self.initial_list,
            self.gateways,
            classes.join(","),
            self.plan,
            self.idle_timeout,
            self.connect_timeout,
            self.cancellation_allowed,
            self.counter_timeout
        )
    }

    /// Starts the gateway and waits until its health check succeeds.
    pub fn start(&self) -> GatewayProcess {
        let gateway = self.launch();
        eventually("the gateway answers /healthz with status 200", || {
            gateway.client().get("/healthz", "").status() == 200
        });
        gateway
    }

    /// Starts the gateway and waits until it listens.
    pub fn launch(&self) -> GatewayProcess {
        GatewayProcess::launch(&self.config(), self.descriptor_limit, self.gateways)
    }
}

/// Starts a discovery agent whose list contains `members`, and a counter. Returns them with the setup of a
/// gateway that uses both and has the same list from the start.
pub fn start_stubs(members: &[String]) -> (Setup, Discovery, Counter) {
    let initial_list = endpoint_list(1, true, members);
    let discovery = Discovery::start(initial_list.clone());
    let counter = Counter::ok();
    (Setup::new(discovery.address, counter.address, &initial_list), discovery, counter)
}
