//! Checks how both settings readers read a wide range of valid and malformed values.
//!
//! The readers must read the configuration files of deployments that are not known to this project. A change
//! that reads a number differently, or rejects a value that was accepted before, would be noticed only there.
//! Therefore `recorded/settings_values.txt` records the result of each value, grouped by the setting that has
//! the value. The test writes its own results to the target directory. After an intended change, copy the
//! changed lines from there in the same commit.

use rate_limiting_gateway::config::{parse_settings, Config, ConfigError};
use rate_limiting_gateway::settings::{Class, Plan, Settings};
use serde_json::{json, Value};

const RECORDED: &str = include_str!("recorded/settings_values.txt");

/// A valid configuration file that contains every key that the gateway reads.
fn base_file() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "counter": "127.0.0.1:2",
        "seed": "1f", "known": {"revision": 3, "members": []},
        "limits": {"sockets": 300, "memory_mb": 64.0},
        "settings": {
            "balancers": 7, "areas": ["north-1", "south 2"], "zone": 1, "discovery": "on_request",
            "classes": [
                {"name": "look", "deadline": 900.0, "goal_time": 300.0, "importance": 0.5,
                 "idempotency": "free", "group": "all", "repeat_window": 1000.0, "late_value": 0.25},
                {"name": "C_3", "deadline": 5000, "goal_time": 4000, "importance": 2,
                 "idempotency": "guarded", "group": "zone", "repeat_window": 50, "late_value": 0}
            ],
            "plans": [
                {"name": "Open Only", "rate": 9.5, "store_size": 90.0, "max_out": 7, "hard_rate": 20.0,
                 "cap_depth": 200.0, "ceiling_slack": 10.0, "pays": 1.5, "excess_worth": 0.5, "over_cost": 0.75}
            ],
            "report": {"source": "answers", "columns": ["util", "inflight"]},
            "ceilings": {"conn_idle": 2000.0, "connect_timeout": 400.0, "max_attempts": 2, "cancelling": true,
                         "parallel_tries": true, "retry_after": true, "max_retry_after": 800.0},
            "family_info": {"shared_counter": true, "counter_timeout": 30.0, "max_units": 2},
            "safety": {"start_capacity": 0.3, "warm_after": 3000.0, "drain_grace": 90.0}
        }
    })
}

/// The policy's settings in [`base_file`], in the simulator's text format.
const BASE_TEXT: &str = "balancers=7\ndiscovery=on_request\nclasses.count=2\n\
    classes.0.name=look\nclasses.0.deadline=900.0\nclasses.0.goal_time=300.0\nclasses.0.importance=0.5\n\
    classes.0.idempotency=free\nclasses.0.group=all\nclasses.0.repeat_window=1000.0\nclasses.0.late_value=0.25\n\
    classes.1.name=C_3\nclasses.1.deadline=5000\nclasses.1.goal_time=4000\nclasses.1.importance=2\n\
    classes.1.idempotency=guarded\nclasses.1.group=zone\nclasses.1.repeat_window=50\nclasses.1.late_value=0\n\
    plans.count=1\nplans.0.name=Open_Only\nplans.0.rate=9.5\nplans.0.store_size=90.0\nplans.0.max_out=7\n\
    plans.0.hard_rate=20.0\nplans.0.cap_depth=200.0\nplans.0.pays=1.5\nplans.0.excess_worth=0.5\n\
    plans.0.over_cost=0.75\nceilings.max_attempts=2\nceilings.cancelling=true\nceilings.parallel_tries=true\n\
    ceilings.max_retry_after=800.0\nfamily_info.shared_counter=true\nfamily_info.counter_timeout=30.0\n\
    family_info.max_units=2\nsafety.start_capacity=0.3\nsafety.warm_after=3000.0\n";

/// JSON pointers of the fields that the test sets to each of [`json_values`].
const JSON_POINTERS: &[&str] = &[
    "/settings/balancers",
    "/settings/areas",
    "/settings/areas/1",
    "/settings/discovery",
    "/settings/classes",
    "/settings/classes/1",
    "/settings/classes/0/name",
    "/settings/classes/0/deadline",
    "/settings/classes/0/goal_time",
    "/settings/classes/0/importance",
    "/settings/classes/0/idempotency",
    "/settings/classes/0/group",
    "/settings/classes/0/repeat_window",
    "/settings/classes/0/late_value",
    "/settings/classes/1/idempotency",
    "/settings/classes/1/group",
    "/settings/classes/1/repeat_window",
    "/settings/plans",
    "/settings/plans/0",
    "/settings/plans/0/name",
    "/settings/plans/0/rate",
    "/settings/plans/0/store_size",
    "/settings/plans/0/max_out",
    "/settings/plans/0/hard_rate",
    "/settings/plans/0/cap_depth",
    "/settings/plans/0/ceiling_slack",
    "/settings/plans/0/pays",
    "/settings/plans/0/excess_worth",
    "/settings/plans/0/over_cost",
    "/settings/report",
    "/settings/ceilings",
    "/settings/ceilings/conn_idle",
    "/settings/ceilings/connect_timeout",
    "/settings/ceilings/max_attempts",
    "/settings/ceilings/cancelling",
    "/settings/ceilings/parallel_tries",
    "/settings/ceilings/max_retry_after",
    "/settings/family_info",
    "/settings/family_info/shared_counter",
    "/settings/family_info/counter_timeout",
    "/settings/family_info/max_units",
    "/settings/safety",
    "/settings/safety/start_capacity",
    "/settings/safety/warm_after",
    "/settings/safety/drain_grace",
    "/settings",
    "/name",
    "/listen",
    "/counter",
    "/seed",
    "/known",
    "/limits",
    "/limits/sockets",
    "/limits/memory_mb",
];

/// Valid and malformed values, which the test sets at each of [`JSON_POINTERS`].
fn json_values() -> Vec<Value> {
    vec![
        json!(null),
        json!(true),
        json!(false),
        json!(0),
        json!(1),
        json!(1.0),
        json!(-4),
        json!(2.75),
        json!(1e300),
        json!(u64::MAX),
        json!("12.5"),
        json!(" 12.5 "),
        json!("1,5"),
        json!("soon"),
        json!("inf"),
        json!("NaN"),
        json!(""),
        json!("1"),
        json!("true"),
        json!("True"),
        json!("free"),
        json!("guarded"),
        json!("single_shot"),
        json!("cell"),
        json!("pushed"),
        json!("on_request"),
        json!([]),
        json!([3]),
        json!([true]),
        json!(["free"]),
        json!([3, 4]),
        json!([null]),
        json!([[3]]),
        json!([{"deadline": 70}]),
        json!([{"deadline": 70, "idempotency": "free"}, 5]),
        json!([{"deadline": 70, "idempotency": "free"}]),
        json!([[], {"name": "x", "idempotency": "single_shot", "deadline": 9}]),
        json!({}),
        json!({"extra": {"deep": [1, {"x": 2}]}}),
        json!({"count": 0}),
        json!({"count": 1, "0": {"deadline": 70, "idempotency": "free", "rate": 3}}),
    ]
}

/// Complete `settings` objects, for cases that a change of a single value does not cover.
fn whole_settings() -> Vec<Value> {
    let class = json!({"deadline": 70, "idempotency": "free"});
    let many = |n: usize| vec![json!({}); n];
    vec![
        json!({"classes": [class]}),
        json!({"classes": [class], "plans": many(2)}),
        json!({"classes": [class], "plans": many(4)}),
        json!({"classes": [class], "plans": many(5)}),
        json!({"classes": [class], "plans": [{"name": "x"}, {"rate": 5, "tiers": [{"rate": 1}], "rate.x": 2}]}),
        json!({"classes": [class], "safety.warm_after": 55}),
        json!({"classes": [class], "safety.warm_after": 55, "safety": {"warm_after": 66}}),
        json!({"classes": [class], " balancers ": 9}),
        json!({"classes": [class], "": {"balancers": 9}, "balancers": {"": 4}}),
        json!({"classes": [class], "balancers": {"x": 9}, "discovery": {"mode": "on_request"}}),
        json!({"classes": [class], "ceilings": {"max_attempts": 4_294_967_296u64, "future": [[], {}]}}),
        json!({"classes": [class], "ceilings": {"max_attempts": 2.9, "max_retry_after": -1.0}}),
        json!({"classes": [{"deadline": 70, "idempotency": "guarded", "group": "cell"}]}),
        json!({"classes": [{"deadline": 70, "idempotency": "guarded"}]}),
        json!({"classes": [{"idempotency": "free"}]}),
        json!({"classes": [{"deadline": 70}]}),
        json!({"klasses": [class]}),
    ]
}

/// Values that the test gives to each line of [`BASE_TEXT`].
const TEXT_VALUES: &[&str] = &[
    "",
    " ",
    "0",
    "1",
    "1.0",
    "2",
    " 12.5 ",
    "1e3",
    "-4",
    "2.75",
    "1,5",
    "1_5",
    "soon",
    "inf",
    "-inf",
    "nan",
    "1e999",
    "true",
    " true ",
    "True",
    "false",
    "null",
    "free",
    "guarded",
    "single_shot",
    "cell",
    "zone",
    "all",
    "pushed",
    "on_request",
    "a=b",
];

/// Complete settings texts, for cases that a change of a single line does not cover.
const WHOLE_TEXTS: &[&str] = &[
    "",
    "\n\n=\n==\nx\n",
    "classes.count=0",
    "classes.count=0\n",
    "classes.count=0\r\nbalancers=3\r\n",
    " classes.count = 0 \n balancers = 3 \n",
    "classes.count=0\nbalancers=3\nbalancers=4\n",
    "classes.count=0\nbalancers\nbalancers=\n",
    "classes.count=0\nbalancers.x=3\n",
    "classes.count=4000000000",
    "classes.count=1\nclasses.0.deadline=5\n",
    "classes.count=1\nclasses.0.deadline=5\nclasses.0.idempotency=free\n",
    "classes.count=1\nclasses.00.deadline=5\nclasses.0.idempotency=free\n",
    "classes.0.deadline=5\nclasses.0.idempotency=free\n",
    "classes.count=0\nplans.count=1\n",
    "classes.count=0\nplans.count=3\n",
    "classes.count=0\nplans.count=soon\n",
    "classes.count=0\nplans=1\nplans.0.rate=5\n",
    "classes.count=0\nsafety=5\nsafety.warm_after=7\n",
    "classes.count=0\nclasses=free\nfuture.key=whatever\nfuture.count=9\n",
];

fn class_lines(number: usize, class: &Class) -> Vec<String> {
    let Class { latency_objective, deadline, late_value, priority_weight, idempotency } = class;
    vec![
        format!(
            "class {number}: objective {latency_objective:?}, deadline {deadline:?}, late {late_value:?}"
        ),
        format!("class {number}: weight {priority_weight:?}, {idempotency:?}"),
    ]
}

fn plan_lines(number: usize, plan: &Plan) -> Vec<String> {
    let Plan { rate, burst, max_in_flight, ceiling_rate, ceiling_burst, priority_multiplier } = plan;
    vec![
        format!("plan {number}: rate {rate:?}, burst {burst:?}, in flight {max_in_flight:?}"),
        format!("plan {number}: ceiling {ceiling_rate:?}, {ceiling_burst:?}"),
        format!("plan {number}: priority {priority_multiplier:?}"),
    ]
}

fn settings_lines(settings: &Settings) -> Vec<String> {
    let mut lines = vec![
        format!("{} classes, {} plans", settings.classes.len(), settings.plans.len()),
        format!("gateways {:?}", settings.fleet_gateway_count),
        format!("max units {:?}", settings.max_units),
        format!("max attempts {:?}", settings.max_attempts),
        format!("hedging {:?}", settings.hedging_allowed),
        format!("cancellation {:?}", settings.cancellation_allowed),
        format!("max retry-after {:?}", settings.max_retry_after),
        format!("counter {:?}", settings.counter_enabled),
        format!("counter timeout {:?}", settings.counter_timeout),
        format!("polls {:?}", settings.poll_endpoints),
        format!("slow start {:?}", settings.slow_start_capacity),
        format!("slow start window {:?}", settings.slow_start_window),
    ];
    lines.extend(settings.classes.iter().enumerate().flat_map(|(i, class)| class_lines(i, class)));
    lines.extend(settings.plans.iter().enumerate().flat_map(|(i, plan)| plan_lines(i, plan)));
    lines
}

fn config_lines(config: &Config) -> Vec<String> {
    let mut lines = settings_lines(&config.settings);
    lines.extend([
        format!("name {:?}, listen {}", config.name, config.listen),
        format!("discovery {}, counter {:?}", config.discovery, config.counter),
        format!("seed {:#x}", config.seed),
        format!("known {:?}", config.cached_endpoints().map(|list| (list.revision, list.entries().count()))),
        format!("limits {:?}, {:?} MB", config.limits.sockets, config.limits.memory_mb),
        format!("class names {:?}", config.names.classes),
        format!("plan names {:?}", config.names.plans),
        format!("zones {:?}", config.names.zones),
        format!("connection idle {:?}", config.server_idle_timeout),
        format!("connect timeout {:?}", config.connect_timeout),
        format!("drain grace {:?}", config.drain_grace),
    ]);
    lines
}

fn read_file(text: &str) -> Result<Vec<String>, String> {
    match Config::parse(text) {
        Ok(config) => Ok(config_lines(&config)),
        // The message comes from the JSON library, so it is not recorded.
        Err(ConfigError::Malformed(_)) => Err("malformed".into()),
        Err(error) => Err(error.to_string()),
    }
}

fn read_text(text: &str) -> Result<Vec<String>, String> {
    parse_settings(text).map(|settings| settings_lines(&settings)).map_err(|error| error.to_string())
}

/// Describes a result: the error, or the lines that are not in `base`.
fn describe_result(result: &Result<Vec<String>, String>, base: &[String]) -> String {
    match result {
        Err(error) => format!("error: {error}"),
        Ok(lines) => {
            let changed: Vec<&str> =
                lines.iter().filter(|line| !base.contains(line)).map(String::as_str).collect();
            format!("{} lines; {}", lines.len(), changed.join("; "))
        }
    }
}

/// The results of all values as lines of text. A section for each changed setting lists the results, each
/// with the values that led to it.
#[derive(Default)]
struct ResultLog {
    lines: Vec<String>,
    /// The results of the current section and the values that led to each.
    results: Vec<(String, Vec<String>)>,
}

impl ResultLog {
    /// Ends the current section and starts the next one.
    fn start_section(&mut self, heading: &str) {
        for (result, values) in self.results.drain(..) {
            self.lines.push(format!("  {result} <- {}", values.join(" | ")));
        }
        self.lines.push(heading.to_owned());
    }

    fn add(&mut self, value: String, result: String) {
        match self.results.iter_mut().find(|(known, _)| *known == result) {
            Some((_, values)) => values.push(value),
            None => self.results.push((result, vec![value])),
        }
    }
}

/// [`base_file`] without the value at a JSON pointer.
fn base_file_without(pointer: &str) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a JSON pointer contains a slash");
    let mut file = base_file();
    match file.pointer_mut(parent).expect(parent) {
        Value::Object(fields) => drop(fields.remove(key)),
        Value::Array(items) => drop(items.remove(key.parse().expect("the key of an array item is a number"))),
        _ => panic!("{parent} is neither an object nor an array"),
    }
    file
}

fn record_json_results(log: &mut ResultLog) {
    let base = read_file(&base_file().to_string()).expect("the base file is valid");
    log.start_section("json");
    log.add("base".into(), base.join("; "));
    for pointer in JSON_POINTERS {
        log.start_section(&format!("json {pointer}"));
        for value in json_values() {
            let mut file = base_file();
            *file.pointer_mut(pointer).expect(pointer) = value.clone();
            log.add(value.to_string(), describe_result(&read_file(&file.to_string()), &base));
        }
        log.add("absent".into(), describe_result(&read_file(&base_file_without(pointer).to_string()), &base));
    }
    log.start_section("json whole settings");
    for settings in whole_settings() {
        let mut file = base_file();
        file["settings"] = settings.clone();
        log.add(settings.to_string(), describe_result(&read_file(&file.to_string()), &base));
    }
}

fn record_text_results(log: &mut ResultLog) {
    let base = read_text(BASE_TEXT).expect("the base text is valid");
    log.start_section("text");
    log.add("base".into(), base.join("; "));
    for line in BASE_TEXT.lines() {
        let (key, _) = line.split_once('=').expect("each line contains `=`");
        log.start_section(&format!("text {key}"));
        for value in TEXT_VALUES {
            let text = BASE_TEXT.replace(line, &format!("{key}={value}"));
            log.add(format!("{value:?}"), describe_result(&read_text(&text), &base));
        }
        log.add("absent".into(), describe_result(&read_text(&BASE_TEXT.replace(line, "")), &base));
    }
    log.start_section("text whole");
    for text in WHOLE_TEXTS {
        log.add(format!("{text:?}"), describe_result(&read_text(text), &base));
    }
    log.start_section("end");
}

#[test]
fn both_readers_read_each_value_as_recorded() {
    let mut log = ResultLog::default();
    record_json_results(&mut log);
    record_text_results(&mut log);
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/settings_values.txt");
    std::fs::write(path, log.lines.join("\n") + "\n").expect("cannot write the results file");
    let mut section = "";
    for (line, recorded) in log.lines.iter().zip(RECORDED.lines()) {
        if !line.starts_with(' ') {
            section = line;
        }
        assert_eq!(line, recorded, "a result in section {section:?} differs from the recorded one");
    }
    assert_eq!(
        log.lines.len(),
        RECORDED.lines().count(),
        "the number of results differs from the recorded one"
    );
}

/// Both formats must give the same settings. Otherwise a setting that is added to only one reader would be
/// missing from the other one.
#[test]
fn both_readers_give_the_same_settings() {
    let config = Config::parse(&base_file().to_string()).expect("the base file is valid");
    let settings = parse_settings(BASE_TEXT).expect("the base text is valid");
    assert_eq!(settings_lines(&config.settings), settings_lines(&settings));
}
