//! What a gateway is started with.

use super::{endpoint_list, eventually, Counter, Discovery, GatewayProcess};
use std::net::SocketAddr;

/// What a gateway is started with.
pub struct Setup {
    /// Where it listens.
    pub listen: String,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
    /// The endpoint list that it knows at its start.
    pub initial_list: String,
    /// Sockets that it may use.
    pub sockets: usize,
    /// Memory that it may use, MB.
    pub memory_mb: f64,
    /// The shell's limit on descriptors.
    pub descriptor_limit: Option<usize>,
    /// Time after which an idle connection is closed, ms.
    pub idle_timeout: f64,
    /// Time-out of a connection to a server, ms.
    pub connect_timeout: f64,
    /// Time-out of a counter call, ms.
    pub counter_timeout: f64,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Gateways of the fleet.
    pub gateways: usize,
    /// The only plan.
    pub plan: &'static str,
    /// In place of the settings that the fields above make.
    pub settings: Option<serde_json::Value>,
}

/// A plan whose quota no test reaches.
pub const LARGE_QUOTA_PLAN: &str = r#"{"name":"team","rate":100000,"store_size":100000}"#;

/// A request class as the configuration file names its fields.
fn class(name: &str, idempotency: &str, goal: u32, deadline: u32) -> String {
    format!(
        r#"{{"name":"{name}","deadline":{deadline},"goal_time":{goal},"importance":2,"idempotency":"{idempotency}","group":"all","repeat_window":25000,"late_value":0}}"#
    )
}

impl Setup {
    /// Usual settings.
    pub fn new(discovery: SocketAddr, counter: SocketAddr, known: &str) -> Setup {
        Setup {
            listen: "127.0.0.1:0".into(),
            discovery,
            counter,
            initial_list: known.into(),
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

    /// The configuration file.
    pub fn config(&self) -> String {
        let Some(settings) = &self.settings else { return self.usual_config() };
        let mut config: serde_json::Value =
            serde_json::from_str(&self.usual_config()).expect("a configuration");
        config["settings"] = settings.clone();
        config.to_string()
    }

    fn usual_config(&self) -> String {
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

    /// Starts the gateway and waits until it is ready to serve.
    pub fn start(&self) -> GatewayProcess {
        let gateway = self.launch();
        eventually("healthz", || gateway.client().get("/healthz", "").status() == 200);
        gateway
    }

    /// Starts the gateway and waits until it listens.
    pub fn launch(&self) -> GatewayProcess {
        GatewayProcess::launch(&self.config(), self.descriptor_limit, self.gateways)
    }
}

/// Discovery that holds these members, a counter, and a setup by which they are known from the start.
pub fn start_stubs(members: &[String]) -> (Setup, Discovery, Counter) {
    let known = endpoint_list(1, true, members);
    let discovery = Discovery::start(known.clone());
    let counter = Counter::ok();
    (Setup::new(discovery.address, counter.address, &known), discovery, counter)
}
