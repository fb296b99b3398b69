//! What either reader of the settings makes of a wide set of values, good and malformed.
//!
//! The readers take in files of deployments that nobody here has seen. A rewrite of them that read one number
//! otherwise, or refused what it had taken in, would show only there. So each result is recorded, a line each
//! in `recorded/settings_values.txt`, by the place of the value and what it led to. A run writes its own
//! results to the target directory; a line that has changed on purpose is copied from there, in the commit
//! that changes it.

use rate_limiting_gateway::config::{parse_settings, Config, ConfigError};
use rate_limiting_gateway::settings::{Class, Plan, Settings};
use serde_json::{json, Value};

const RECORDED: &str = include_str!("recorded/settings_values.txt");

/// A configuration file with every key that is read.
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

/// The same settings as the simulator hands them over.
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

/// Places of the file that get each of [`json_values`].
const JSON_PLACES: &[&str] = &[
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

/// Files as a whole, with forms that no single value brings about.
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

/// Values that each line of the settings text gets.
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

/// Texts as a whole.
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
        format!("gateways {:?}", settings.gateway_count),
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
        // Where it is not JSON of the agreed form, the words are the JSON library's.
        Err(ConfigError::Malformed(_)) => Err("malformed".into()),
        Err(error) => Err(error.to_string()),
    }
}

fn read_text(text: &str) -> Result<Vec<String>, String> {
    parse_settings(text).map(|settings| settings_lines(&settings)).map_err(|error| error.to_string())
}

/// A result, told by what differs from another.
fn outcome(result: &Result<Vec<String>, String>, base: &[String]) -> String {
    match result {
        Err(error) => format!("error: {error}"),
        Ok(lines) => {
            let changed: Vec<&str> =
                lines.iter().filter(|line| !base.contains(line)).map(String::as_str).collect();
            format!("{} lines; {}", lines.len(), changed.join("; "))
        }
    }
}

/// Results in the order of their places, and at each place the values by what they lead to.
#[derive(Default)]
struct Record {
    lines: Vec<String>,
    outcomes: Vec<(String, Vec<String>)>,
}

impl Record {
    fn begin(&mut self, place: &str) {
        for (outcome, values) in self.outcomes.drain(..) {
            self.lines.push(format!("  {outcome} <- {}", values.join(" | ")));
        }
        self.lines.push(place.to_owned());
    }

    fn add(&mut self, value: String, outcome: String) {
        match self.outcomes.iter_mut().find(|(known, _)| *known == outcome) {
            Some((_, values)) => values.push(value),
            None => self.outcomes.push((outcome, vec![value])),
        }
    }
}

/// The file without what stands at a place.
fn without(place: &str) -> Value {
    let (parent, key) = place.rsplit_once('/').expect("a place");
    let mut file = base_file();
    match file.pointer_mut(parent).expect(parent) {
        Value::Object(fields) => drop(fields.remove(key)),
        Value::Array(items) => drop(items.remove(key.parse().expect("a number"))),
        _ => panic!("{parent} holds nothing"),
    }
    file
}

fn record_json(record: &mut Record) {
    let base = read_file(&base_file().to_string()).expect("the base is read");
    record.begin("json");
    record.add("base".into(), base.join("; "));
    for place in JSON_PLACES {
        record.begin(&format!("json {place}"));
        for value in json_values() {
            let mut file = base_file();
            *file.pointer_mut(place).expect(place) = value.clone();
            record.add(value.to_string(), outcome(&read_file(&file.to_string()), &base));
        }
        record.add("absent".into(), outcome(&read_file(&without(place).to_string()), &base));
    }
    record.begin("json whole settings");
    for settings in whole_settings() {
        let mut file = base_file();
        file["settings"] = settings.clone();
        record.add(settings.to_string(), outcome(&read_file(&file.to_string()), &base));
    }
}

fn record_text(record: &mut Record) {
    let base = read_text(BASE_TEXT).expect("the base is read");
    record.begin("text");
    record.add("base".into(), base.join("; "));
    for line in BASE_TEXT.lines() {
        let (key, _) = line.split_once('=').expect("a line");
        record.begin(&format!("text {key}"));
        for value in TEXT_VALUES {
            let text = BASE_TEXT.replace(line, &format!("{key}={value}"));
            record.add(format!("{value:?}"), outcome(&read_text(&text), &base));
        }
        record.add("absent".into(), outcome(&read_text(&BASE_TEXT.replace(line, "")), &base));
    }
    record.begin("text whole");
    for text in WHOLE_TEXTS {
        record.add(format!("{text:?}"), outcome(&read_text(text), &base));
    }
    record.begin("end");
}

#[test]
fn either_reader_makes_of_each_value_what_was_recorded() {
    let mut record = Record::default();
    record_json(&mut record);
    record_text(&mut record);
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/settings_values.txt");
    std::fs::write(path, record.lines.join("\n") + "\n").expect("a file");
    let mut place = "";
    for (line, recorded) in record.lines.iter().zip(RECORDED.lines()) {
        if !line.starts_with(' ') {
            place = line;
        }
        assert_eq!(line, recorded, "{place}");
    }
    assert_eq!(record.lines.len(), RECORDED.lines().count(), "results and recorded ones");
}

/// The file and the simulator's text name the same settings, so that what one reader learns the other does
/// not miss.
#[test]
fn both_readers_give_the_same_settings() {
    let config = Config::parse(&base_file().to_string()).expect("the base is read");
    let settings = parse_settings(BASE_TEXT).expect("the base is read");
    assert_eq!(settings_lines(&config.settings), settings_lines(&settings));
}
