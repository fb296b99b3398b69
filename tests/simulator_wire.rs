//! The adapter on frames of the project's own making: legal ones, and each kind of malformed one.

#[allow(dead_code)] // each file of tests uses its own part
#[path = "support/frames.rs"]
mod frames;

use frames::{event_code, frame, record};
use rate_limiting_gateway::{config::parse_settings, simulator::GatewayHost};

/// A code that no event has.
const UNKNOWN_CODE: u16 = 7;

const SETTINGS: &str = "classes.count=1\nclasses.0.deadline=1500.0\nclasses.0.goal_time=500.0\n\
    classes.0.idempotency=free\nplans.count=1\nplans.0.rate=5.0\nplans.0.store_size=10.0\nbalancers=3\n\
    family_info.shared_counter=true\nfuture.key=whatever\n";

fn start_frame(instance: u32, text: &str) -> Vec<u8> {
    let provision = record(
        event_code::INSTANCE_STARTED,
        instance,
        &[(6, &7u64.to_le_bytes()), (18, &(text.len() as u32).to_le_bytes())],
    );
    let mut entry = 1f32.to_le_bytes().to_vec();
    entry.extend(1u32.to_le_bytes());
    entry.extend([0u8; 13]);
    entry.extend([1]);
    assert_eq!(entry.len(), 22);
    let at = (text.len() as u32).to_le_bytes();
    let list =
        record(event_code::ENDPOINTS_CHANGED, instance, &[(6, &[2]), (11, &at), (15, &1u32.to_le_bytes())]);
    frame(1000.0, &[provision, list], &[text.as_bytes(), &entry].concat())
}

fn request(instance: u32, id: u32) -> Vec<u8> {
    record(
        event_code::REQUEST,
        instance,
        &[
            (6, &id.to_le_bytes()),
            (16, &2f32.to_le_bytes()),
            (20, &1500f64.to_le_bytes()),
            (30, &1f32.to_le_bytes()),
        ],
    )
}

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    let result = GatewayHost::default().run(input, &mut output).map_err(|e| e.to_string());
    (result, output)
}

fn assert_fails(input: &[u8], message: &str) {
    let (result, output) = run(input);
    let error = result.expect_err("accepted");
    assert!(error.contains(message) && !error.contains('\n'), "{error}");
    assert!(output.is_empty(), "a partial reply");
}

#[test]
fn an_empty_batch_and_the_end_between_frames() {
    let (result, output) = run(&frame(5.0, &[], &[]));
    assert!(result.is_ok());
    assert_eq!(output, [0, 0, 0, 0, 8, 0, 0, 0]);
    assert!(run(&[]).0.is_ok());
}

#[test]
fn a_request_is_forwarded_to_the_listed_server() {
    /// The action's code, 1000, and the instance.
    const FORWARD_OF_INSTANCE_3: [u8; 6] = [0xe8, 3, 3, 0, 0, 0];
    let mut input = start_frame(3, SETTINGS);
    input.extend(frame(1001.0, &[request(3, 9)], &[]));
    let (result, output) = run(&input);
    assert!(result.is_ok());
    assert!(output.windows(6).any(|bytes| bytes == FORWARD_OF_INSTANCE_3));
}

/// The simulator, or a pipe that broke, hands over half a frame or a wild length. The adapter ends with an
/// error that says which, and writes no reply to what it has not understood.
#[test]
fn malformed_frames_are_errors_and_get_no_reply() {
    assert_fails(&[16, 0], "cut short");
    assert_fails(&frame(0.0, &[], &[])[..12], "cut short");
    assert_fails(&[3, 0, 0, 0], "shorter than a header");
    assert_fails(&u32::MAX.to_le_bytes(), "cut short");
    let mut count = frame(0.0, &[], &[]);
    count[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails(&count, "do not fit");
    assert_fails(&frame(f64::NAN, &[], &[]), "not finite");
    assert_fails(&frame(0.0, &[record(UNKNOWN_CODE, 1, &[])], &[]), "never provisioned");
    let outside =
        record(event_code::INSTANCE_STARTED, 1, &[(14, &9u32.to_le_bytes()), (18, &9u32.to_le_bytes())]);
    assert_fails(&frame(0.0, &[outside], b"short"), "past the tail");
}

/// An event of a kind that is not known, or settings without what a gateway needs, must not be guessed at.
#[test]
fn malformed_events_and_settings_are_errors() {
    let error_after_start = |event: Vec<u8>| {
        let mut input = start_frame(1, SETTINGS);
        input.extend(frame(1001.0, &[event], &[]));
        run(&input).0.expect_err("accepted").to_string()
    };
    assert!(error_after_start(record(UNKNOWN_CODE, 1, &[])).contains("unknown event code 7"));
    assert!(
        error_after_start(record(event_code::ATTEMPT_ENDED, 1, &[(26, &[99])])).contains("unknown outcome")
    );
    assert!(error_after_start(record(event_code::REQUEST, 1, &[(20, &f64::INFINITY.to_le_bytes())]))
        .contains("not finite"));
    assert!(parse_settings("").is_err());
    assert!(parse_settings("classes.count=4000000000").is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "inf")).is_err());
    assert!(parse_settings(&SETTINGS.replace("1500.0", "soon")).is_err());
    assert!(parse_settings(SETTINGS).is_ok());
}

/// The simulator spreads instances over processes as it likes. If one instance's replies depended on another
/// in its process, a run could not be repeated.
#[test]
fn instances_reply_alike_in_one_process_and_in_several() {
    // Each instance alone gives the bytes it gives beside another.
    let script = |instance: u32| {
        let mut input = start_frame(instance, SETTINGS);
        for i in 0..40 {
            input.extend(frame(1001.0 + f64::from(i) * 9.0, &[request(instance, i as u32)], &[]));
        }
        input
    };
    let (one, two) = (run(&script(1)).1, run(&script(2)).1);
    let mut host = GatewayHost::default();
    let mut together: [Vec<u8>; 2] = Default::default();
    for instance in [1u32, 2] {
        together[instance as usize - 1].extend(host.answer(&start_frame(instance, SETTINGS)).unwrap());
    }
    for i in 0..40 {
        for instance in [1u32, 2] {
            let f = frame(1001.0 + f64::from(i) * 9.0, &[request(instance, i as u32)], &[]);
            together[instance as usize - 1].extend(host.answer(&f).unwrap());
        }
    }
    assert_eq!([one, two], together);
}
