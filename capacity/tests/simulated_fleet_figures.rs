//! For the same seeds, the simulated fleet must give the figures recorded here, so a change of the simulation
//! or of the gateways' decisions shows. The program of commit 5f6c989 recorded them, before the simulation
//! was divided into modules. Processor time and memory are not compared.

use gateway_capacity::deployment::Deployment;
use gateway_capacity::measure::Report;
use gateway_capacity::simulated_fleet::{run, Fault, Scenario};

/// Labels of the recorded figures, in the order of the report.
const FIGURES: [&str; 16] = [
    "requests",
    "attempts a request",
    "requests refused",
    "attempts that could not connect",
    "calls to the counter a request",
    "calls a second, whole fleet",
    "calls with no answer in time",
    "calls turned away",
    "to and from the counter, a limiter",
    "customers remembered, a limiter",
    "entries told by changes, whole fleet",
    "attempts a server, mean",
    "attempts a server, greatest over mean",
    "attempts a server, deviation over mean",
    "the same by chance alone",
    "servers that got nothing",
];

/// A scenario and its recorded figures.
struct RecordedRun {
    fault: Fault,
    seed: u64,
    /// Calls per second that the counter can execute, as a multiple of the requests per second; 0 means that
    /// there is no limit.
    counter_capacity: f64,
    /// Number of gateways that receive one tenant's requests; 0 means all gateways.
    gateways_per_tenant: usize,
    figures: [f64; FIGURES.len()],
}

const RECORDED: [RecordedRun; 7] = [
    RecordedRun {
        fault: Fault::Zone,
        seed: 3,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            4017.0,
            1.0440627333831218,
            0.023649489668907144,
            0.06437768240343347,
            0.2315160567587752,
            465.0,
            0.0,
            0.02903225806451613,
            1312.75,
            128.1,
            0.0,
            41.94,
            1.525989508822127,
            0.1601543698868122,
            0.15441368487069315,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::Zone,
        seed: 1,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            4031.0,
            1.041925080625155,
            0.02307119821384272,
            0.06142857142857143,
            0.21458695112875217,
            432.5,
            0.0,
            0.03352601156069364,
            1189.8,
            130.25,
            0.0,
            42.0,
            1.3571428571428572,
            0.14823221348831792,
            0.1543033499620919,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::Release,
        seed: 3,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            4033.0,
            0.9776841061244731,
            0.02206793949913216,
            0.0,
            0.22836598065955865,
            460.5,
            0.0,
            0.026058631921824105,
            1315.425,
            129.15,
            1000.0,
            39.43,
            1.4455997971088004,
            0.23366246570239524,
            0.15925262933238246,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::Release,
        seed: 1,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            3962.0,
            0.9813225643614336,
            0.019434628975265017,
            0.0,
            0.22160524987380112,
            439.0,
            0.0,
            0.030751708428246014,
            1204.725,
            128.25,
            1000.0,
            38.88,
            1.4403292181069958,
            0.23022866280266838,
            0.16037507477489604,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::None,
        seed: 3,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            4048.0,
            0.9757905138339921,
            0.023221343873517788,
            0.0,
            0.22455533596837945,
            454.5,
            0.0,
            0.034103410341034104,
            1292.35,
            127.8,
            0.0,
            39.5,
            1.4430379746835442,
            0.15901072149308562,
            0.159111456835146,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::None,
        seed: 1,
        counter_capacity: 0.3,
        gateways_per_tenant: 0,
        figures: [
            4006.0,
            0.982526210683974,
            0.018472291562656017,
            0.0,
            0.2166749875187219,
            434.0,
            0.0,
            0.03917050691244239,
            1190.975,
            129.35,
            0.0,
            39.36,
            1.3973577235772359,
            0.14592802370456492,
            0.15939417826583457,
            0.0,
        ],
    },
    RecordedRun {
        fault: Fault::Zone,
        seed: 3,
        counter_capacity: 0.0,
        gateways_per_tenant: 10,
        figures: [
            4045.0,
            1.023733003708282,
            0.03634116192830655,
            0.05843999034049747,
            0.5621755253399259,
            1137.0,
            0.0,
            0.0,
            2356.625,
            100.75,
            0.0,
            41.41,
            1.3281815986476697,
            0.12819760279642092,
            0.15539870121416247,
            0.0,
        ],
    },
];

/// Whether the figure is processor time or memory, which differs from run to run.
fn is_cost_of_simulation(what: &str) -> bool {
    what.starts_with("processor time") || what.starts_with("memory")
}

fn report_of(recorded: &RecordedRun) -> Report {
    let deployment = Deployment {
        gateways: 20,
        servers: 100,
        tenants: 500,
        rate: 2000.0,
        gateways_per_tenant: recorded.gateways_per_tenant,
        ..Deployment::default()
    };
    run(&Scenario {
        deployment,
        seconds: 2.0,
        counter_capacity: recorded.counter_capacity,
        fault: recorded.fault,
        seed: recorded.seed,
    })
}

#[test]
fn the_same_seed_gives_the_recorded_figures() {
    for recorded in &RECORDED {
        let report = report_of(recorded);
        let facts: Vec<_> = report.facts.iter().filter(|fact| !is_cost_of_simulation(&fact.what)).collect();
        let names: Vec<&str> = facts.iter().map(|fact| fact.what.as_str()).collect();
        assert_eq!(names, FIGURES, "the labels of the report differ from the recorded labels");
        for (fact, expected) in facts.iter().zip(recorded.figures) {
            let (fault, seed) = (recorded.fault, recorded.seed);
            assert_eq!(
                fact.value, expected,
                "{} differs from the recorded figure, fault {fault:?}, seed {seed}",
                fact.what
            );
        }
    }
}
