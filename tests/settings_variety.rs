//! Runs the gateway with settings that differ from those of all known deployments, some of them with extreme
//! but valid values. The gateway's behaviour must depend only on the settings.

#[allow(dead_code)] // each test program uses only some of the helpers
mod support;

use serde_json::{json, Value};
use support::*;

/// Settings with a class for each kind of idempotency, and with plans for each kind of quota.
fn settings() -> Value {
    json!({
        "balancers": 7, "areas": ["north-1", "south-2", "3"], "zone": 2, "discovery": "pushed",
        "classes": [
            {"name": "a", "deadline": 900.0, "goal_time": 300.0, "importance": 0.5, "idempotency": "free",
             "group": "all", "repeat_window": 1000.0, "late_value": 1.0},
            {"name": "quarterly-report.v2", "deadline": 600_000.0, "goal_time": 250_000.0, "importance": 1000.0,
             "idempotency": "single_shot", "group": "all", "repeat_window": 1000.0, "late_value": 0.0},
            {"name": "C_3", "deadline": 5000.0, "goal_time": 5000.0, "importance": 1.0,
             "idempotency": "guarded", "group": "zone", "repeat_window": 50.0, "late_value": 0.3}
        ],
        "plans": [
            {"name": "free", "rate": 900.0, "store_size": 900.0, "pays": 0.0, "over_cost": 9.0},
            {"name": "Open Only", "max_out": 70, "pays": 1.0},
            {"name": "c", "rate": 900.0, "store_size": 900.0, "hard_rate": 2000.0, "cap_depth": 2000.0,
             "ceiling_slack": 10.0, "max_out": 90, "over_worth": 1.0, "over_cost": 0.0},
            {"name": "nothing"}
        ],
        "report": {"source": "answers", "columns": ["util", "inflight", "whatever"]},
        "ceilings": {"conn_idle": 2000.0, "connect_timeout": 400.0, "max_attempts": 2, "cancelling": false,
                     "parallel_tries": false, "retry_after": false, "max_retry_after": 0.0},
        "family_info": {"shared_counter": true, "counter_timeout": 400.0, "max_units": 250.0},
        "safety": {"start_capacity": 0.9, "warm_after": 100.0, "overload_factor": 1.1, "tip_after": 50.0,
                   "drain_grace": 90.0}
    })
}

/// [`settings`] with other values at some JSON pointers.
fn settings_with(changes: &[(&str, Value)]) -> Value {
    let mut all = settings();
    for (pointer, value) in changes {
        *all.pointer_mut(pointer).unwrap_or_else(|| panic!("{pointer} is not in the settings")) =
            value.clone();
    }
    all
}

fn request(class: &str, post: bool, plan: &str, units: &str, id: &str) -> String {
    // Each client has at least half of its class's deadline left, in seconds.
    let time_left = match class {
        "quarterly-report.v2" => "500",
        "C_3" => "4.5",
        _ => "0.85",
    };
    let (method, length) = if post { ("POST", "Content-Length: 2\r\n\r\n{}") } else { ("GET", "\r\n") };
    format!(
        "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Plan: {plan}\r\nX-Time-Left: {time_left}\r\nIdempotency-Key: {id}\r\n\
         X-Quota: units={units},spread=1,first=0\r\n{length}"
    )
}

/// Valid settings with extreme values, each with a description of what is extreme.
fn variants() -> [(&'static str, Value); 9] {
    [
        ("unchanged settings", settings()),
        (
            "one gateway",
            settings_with(&[("/balancers", json!(1)), ("/areas", json!([])), ("/zone", json!(0))]),
        ),
        ("seventy gateways", settings_with(&[("/balancers", json!(70))])),
        ("one attempt", settings_with(&[("/ceilings/max_attempts", json!(1))])),
        ("no limit on attempts, no connect timeout", {
            settings_with(&[
                ("/ceilings/max_attempts", json!(0)),
                ("/ceilings/connect_timeout", json!(1e300)),
            ])
        }),
        ("connections closed after 1 ms", settings_with(&[("/ceilings/conn_idle", json!(1.0))])),
        ("no counter", settings_with(&[("/family_info/shared_counter", json!(false))])),
        ("a very long slow start", {
            settings_with(&[("/safety/warm_after", json!(1e12)), ("/safety/start_capacity", json!(0.0001))])
        }),
        ("very long and very short durations", {
            settings_with(&[
                ("/classes/1/deadline", json!(1e15)),
                ("/family_info/counter_timeout", json!(1e7)),
                ("/safety/drain_grace", json!(1e300)),
                ("/safety/tip_after", json!(0.0)),
                ("/ceilings/conn_idle", json!(1e300)),
            ])
        }),
    ]
}

#[test]
fn requests_of_every_class_and_plan_are_served_with_unusual_settings() {
    for (variant, settings) in variants() {
        let server = Server::ok();
        let (mut setup, _discovery, _counter) = start_stubs(&endpoints_of(&server));
        setup.settings = Some(settings);
        let mut gateway = setup.start();
        let mut client = gateway.client();
        let classes = [("a", false), ("quarterly-report.v2", true), ("C_3", true)];
        let mut served = 0;
        for (i, (class, post)) in classes.into_iter().enumerate() {
            for (j, plan) in ["free", "Open Only", "c", "nothing"].into_iter().enumerate() {
                let text = request(class, post, plan, "1", &format!("{i}{j}"));
                let status = client.exchange_bytes(text.as_bytes()).map(|m| m.status());
                assert_eq!(status, Some(200), "{variant}: wrong status for class {class} and plan {plan}");
                served += 1;
            }
        }
        assert_eq!(server.request_count(), served, "{variant}: a request was not forwarded exactly once");
        // The classes and plans of other deployments are unknown in this one.
        let unknown =
            [("look", "c", 404), ("fetch-count", "c", 404), ("a", "team", 400), ("a", "lokal", 400)];
        for (class, plan, status) in unknown {
            let text = request(class, false, plan, "1", "x");
            assert_eq!(
                gateway.client().exchange_bytes(text.as_bytes()).map(|m| m.status()),
                Some(status),
                "{variant}: wrong status for class {class} and plan {plan}"
            );
        }
        let text = request("a", false, "c", "250.5", "y");
        assert_eq!(
            gateway.client().exchange_bytes(text.as_bytes()).map(|m| m.status()),
            Some(400),
            "{variant}: wrong status for a request with more units than `max_units`"
        );
        gateway.terminate();
        assert_eq!(gateway.exit_code(), Some(0), "{variant}: the gateway did not exit cleanly");
    }
}

/// A server closes the connection on a non-idempotent request, and the only other server is draining. The
/// names of the class and the servers differ from those of the other tests. The request must fail rather than
/// be executed twice, and the draining server must not receive any request.
#[test]
fn draining_servers_and_non_idempotent_classes_are_recognized_under_any_name() {
    let closing = Server::start(|_| StubResponse::Close(Vec::new()));
    let draining = Server::ok();
    let known = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("node/1", closing.address, "Ready"),
            endpoint_entry("node/2", draining.address, "Terminating"),
        ],
    );
    let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
    let mut setup = Setup::new(discovery.address, counter.address, &known);
    setup.settings = Some(settings());
    let gateway = setup.start();
    let text = request("quarterly-report.v2", true, "c", "1", "once");
    let status = gateway.client().exchange_bytes(text.as_bytes()).map(|m| m.status());
    assert_eq!(
        (status, closing.request_count(), draining.request_count()),
        (Some(502), 1, 0),
        "the request, which may have been executed, did not fail after one attempt"
    );
    eventually("the gateway watches discovery", || discovery.watch_count() == 1);
    discovery.write(
        &(endpoint_list(
            2,
            false,
            &[
                endpoint_entry("node/2", draining.address, "Ready"),
                endpoint_entry("node/1", closing.address, "Gone"),
            ],
        ) + "\n"),
    );
    eventually("the server that was draining serves again", || {
        let text = request("a", false, "c", "1", "again");
        gateway.client().exchange_bytes(text.as_bytes()).map(|m| m.status()) == Some(200)
    });
    assert_eq!(closing.request_count(), 1, "a request was sent to the removed server");
}

/// A deployment provides an unusable configuration file. The process must exit with an error message: a
/// process that stayed up would look healthy but serve no clients.
#[test]
fn an_unusable_configuration_ends_the_process_with_an_error_message() {
    let path = std::env::temp_dir().join(format!("rate-limiting-gateway-bad-{}.json", std::process::id()));
    let start_with = |text: Option<&str>| {
        match text {
            Some(text) => std::fs::write(&path, text).expect("cannot write the configuration file"),
            None => _ = std::fs::remove_file(&path),
        }
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_rate-limiting-gateway"));
        let out = command.env("PROXY_CONFIG", &path).output().expect("cannot run the gateway");
        (out.status.code(), out.stderr.len())
    };
    let valid = Setup::new(
        "127.0.0.1:1".parse().expect("an address"),
        "127.0.0.1:2".parse().expect("an address"),
        "null",
    );
    let valid = valid.config();
    for (fault, text) in [
        ("no file", None),
        ("incomplete JSON", Some("{".to_owned())),
        ("an array instead of an object", Some("[]".to_owned())),
        ("no classes", Some(valid.replace("\"classes\"", "\"klasses\""))),
        ("an unknown kind of idempotency", Some(valid.replace("single_shot", "perhaps"))),
        ("an invalid address", Some(valid.replace("127.0.0.1:1\"", "here\""))),
        ("an invalid number", Some(valid.replace("\"deadline\":2000", "\"deadline\":\"soon\""))),
    ] {
        let (code, message_bytes) = start_with(text.as_deref());
        assert!(
            code.is_some_and(|c| c != 0) && message_bytes > 0,
            "{fault}: exit code {code:?}, error message of {message_bytes} bytes"
        );
    }
    let _ = std::fs::remove_file(&path);
}
