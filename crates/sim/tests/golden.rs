//! Frames as printed in the documentation of the simulator's protocol, and the errors of malformed input.

use basalthill_policy::api::*;
use basalthill_sim::wire::{encode_reply, Decoder, Incoming, InstanceAction, InstanceEvent};
use std::io::Write;
use std::process::{Command, Stdio};

/// Decodes hexadecimal digits; other characters are ignored.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or("0"), 16).unwrap_or(0);
    digits.chunks(2).map(byte).collect()
}

/// Encodes a frame of records, each padded to 56 bytes, and a tail.
fn frame(now: u64, records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    for digits in records {
        let mut record = bytes(digits);
        record.resize(56, 0);
        body.extend(record);
    }
    let mut out = ((16 + body.len() + tail.len()) as u32).to_be_bytes().to_vec();
    out.extend(now.to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    out.extend(body);
    out.extend(tail);
    out
}

const SETTINGS: &str = r#"{"balancers": 2, "me": 1, "zone": 0, "quantum": 5000000,
 "unknownKey": [1, {"a": 2}],
 "discovery": "automatic", "weights": "rough", "overShareWorth": 0.2,
 "profiles": [{"aim": 400000000, "deadline": 1000000000, "effect": "deduplicated", "keyScope": "cell",
   "lateWorth": 0.3, "window": 2000000000, "credit": 4.0}],
 "familyInfo": {"consistency": ["mutate"], "lagAllowed": [0], "patience": 0, "positions": true,
   "roleListed": "trailing", "tokenMode": "brought", "whenBehind": "bounce", "zero": 1000000000},
 "bounds": {"cancel": true, "maxAttempts": 10, "maxRetryAfter": 500000000, "parallelTries": true,
   "probes": true,
   "retryAfter": true},
 "rules": {"coldFrom": 0.2, "drainGrace": 1000000000, "fall": 1500000000, "fallMultiple": 3.0,
   "warmWithin": 15000000000},
 "reporting": {"columns": ["x0", "x1"], "via": "probe"}, "prices": {"crossZone": 0.1, "waste": 0.2}}"#;

/// Encodes the reply with these actions.
fn reply(actions: &[(u32, Action)]) -> Vec<u8> {
    let action =
        |(instance, action): &(u32, Action)| InstanceAction { instance: *instance, action: action.clone() };
    encode_reply(&actions.iter().map(action).collect::<Vec<_>>())
}

/// Encodes a frame in which instance 3 starts with these settings.
fn start_frame(settings: &str) -> Vec<u8> {
    let record = format!("01 00000003 0000000000000007 00000000 {:08x}", settings.len());
    frame(1, &[&record], settings.as_bytes())
}

#[test]
fn empty_frame_gets_an_empty_reply() {
    let frame = Decoder::default().decode(&bytes("00000010 00000001f568bf90 00000000")).unwrap();
    assert_eq!(frame.now, Time(0x1_f568_bf90));
    assert!(frame.events.is_empty());
    assert_eq!(reply(&[]), bytes("00000000 00000008"));
}

#[test]
fn events_are_decoded_with_the_number_of_their_instance() {
    let records = [
        "03 00000003 000317885d3a91c4 0000 0000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 41300000
         43ce4000 01",
        "07 00000003 000000000000004d",
        "06 00000005 00036c8c0e6f2b19",
    ];
    let frame = frame(0x1_f568_bf90, &records, &[]);
    assert_eq!(frame.len(), 0xb8);
    let events = Decoder::default().decode(&frame).unwrap().events;
    let [request_event, timer, client_gone] = &events[..] else { panic!("{events:?}") };
    let InstanceEvent { instance: 3, event: Incoming::Request { request, session, token_age } } =
        request_event
    else {
        panic!("{request_event:?}");
    };
    assert!(matches!(timer, InstanceEvent { instance: 3, event: Incoming::Event(Event::Timer(0x4d)) }));
    assert_eq!(request.id, RequestId(0x0003_1788_5d3a_91c4));
    assert_eq!((request.class, request.tenant, request.group), (ClassId(0), TenantId(0), GroupId(11)));
    assert_eq!(*session, Some(SessionKey(0x91f0_3b7c_55d2_0a64)));
    assert_eq!(request.deadline, Time(0x2_03b6_db90));
    assert_eq!(*token_age, Some(Time(412_500_000)));
    let abandoned = RequestId(0x0003_6c8c_0e6f_2b19);
    assert!(matches!(client_gone,
        InstanceEvent { instance: 5, event: Incoming::Event(Event::ClientGone(id)) } if *id == abandoned));
}

#[test]
fn actions_are_encoded_as_documented() {
    let actions = [
        (3, Action::Send(RequestId(0x0003_1788_5d3a_91c4), MemberId(0x0312_4a07), Some(Time(80_000_000)))),
        (3, Action::Timer(Time(0x1dcd_6500), 0x4d)),
        (5, Action::Log("two servers known".into())),
    ];
    let expected = "00000003 00000079
        01 00000003 000317885d3a91c4 03124a07 0000000004c4b400 00000000000000
        05 00000003 000000001dcd6500 000000000000004d 0000000000000000000000
        09 00000005 00000000 00000011 00000000000000000000000000000000000000
        74776f2073657276657273206b6e6f776e";
    assert_eq!(reply(&actions), bytes(expected));
}

#[test]
fn each_action_is_encoded_with_its_code() {
    let id = RequestId(9);
    let actions = [
        (1, Action::Reject(id, Some(Time(7)))),
        (1, Action::Fail(id)),
        (1, Action::Cancel(id, Attempt(2))),
        (1, Action::Probe(MemberId(4))),
        (1, Action::CloseIdle(MemberId(5))),
        (1, Action::WatchEndpoints),
        (1, Action::PollEndpoints),
    ];
    // The reply has a header of 8 bytes and a record of 32 bytes for each action.
    let out = reply(&actions);
    let codes: Vec<u8> = out[8..].chunks(32).map(|record| record[0]).collect();
    assert_eq!(codes, [2, 3, 4, 6, 7, 11, 12]);
    assert_eq!(out[136..145], bytes("07 00000001 00000005")[..]);
    assert_eq!(out[8..40], bytes("02 00000001 0000000000000009 0000000000000007 0000000000000000000000")[..]);
}

#[test]
fn event_refers_to_an_endpoint_list_by_its_number() {
    let rows = bytes(
        "3f800000 03124a07 0000 00 000b 01 3f800000 0000000000000000
         00000000 2c9011f2 0000 00 000b 02 3fc00000 000000016b969d00",
    );
    let records = ["0b 00 00000000 00000002", "02 00000003 02 00000029 00"];
    let events = Decoder::default().decode(&frame(5, &records, &rows)).unwrap().events;
    let [InstanceEvent { instance: 3, event: Incoming::Event(Event::Endpoints(update, list)) }] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!(*update, EndpointUpdate::Cached);
    assert_eq!(
        (list[0].member, list[0].primary, list[0].state),
        (MemberId(0x0312_4a07), true, EndpointState::Ready)
    );
    assert_eq!((list[1].weight, list[1].state), (1.5, EndpointState::Draining));
    assert_eq!((list[0].started, list[1].started), (None, Some(Time(0x1_6b96_9d00))));
    assert_eq!(list[1].group, GroupId(11));
}

#[test]
fn replication_state_and_load_reports_are_decoded_by_the_settings_of_the_instance() {
    let mut decoder = Decoder::default();
    let events = decoder.decode(&start_frame(SETTINGS)).unwrap().events;
    let [InstanceEvent { instance: 3, event: Incoming::Start { seed: 7, deployment } }] = &events[..] else {
        panic!("{events:?}")
    };
    assert_eq!(
        (deployment.settings.classes[0].effect, deployment.settings.classes[0].key_scope),
        (Effect::IdempotentByKey, KeyScope::Group)
    );
    assert_eq!(deployment.settings.when_behind, WhenBehind::Reject);
    assert!(deployment.settings.probes_report_position && deployment.settings.probes_report_role);
    let record = "05 00000003 0000000000000009 0001 00000004 0064 00000000011a49a0 01 0000638e
         02 40c6872b 3f800000 00000000 00000000";
    let events = decoder.decode(&frame(5, &[record], &[])).unwrap().events;
    let [InstanceEvent { instance: 3, event: Incoming::Event(Event::Outcome(outcome)) }] = &events[..] else {
        panic!("{events:?}")
    };
    assert_eq!((outcome.status, outcome.request_completed, outcome.attempt), (Status::Ok, true, Attempt(1)));
    let position = Time(1_000_000_000).plus(Time::ms(0x638e / 4));
    assert_eq!(outcome.replication, ReplicationState { position: Some(position), role: Some(Role::Replica) });
    assert_eq!(outcome.report.role, Some(Role::Primary));
    assert!(outcome.report.position.is_some_and(|at| at > Time(7_000_000_000) && at < Time(7_300_000_000)));
}

#[test]
fn each_malformed_frame_has_its_error() {
    let mut decoder = Decoder::default();
    let mut error = |frame: &[u8]| decoder.decode(frame).unwrap_err().to_string();
    let too_many_records = bytes("00000010 0000000000000000 00000001");
    assert!(error(&too_many_records).contains("can't hold 1 records"));
    let unknown_code = frame(1, &["63 00000001"], &[]);
    assert_eq!(error(&unknown_code), "record 0: unknown event code 99");
    let unknown_list = frame(1, &["02 00000003 01 00000001 05"], &[]);
    assert_eq!(error(&unknown_list), "record 0: endpoint list 5 has not been received");
    let truncated_list = frame(1, &["0b 00 00000000 00000002"], &[0; 30]);
    assert!(error(&truncated_list).contains("extends past the tail"));
    assert!(error(&start_frame("{")).contains("settings: "));
    assert!(error(&start_frame(&SETTINGS.replace("mutate", "odd"))).contains("unknown value \"odd\""));
    assert!(Decoder::frame_len([0, 0, 0, 3]).is_err());
}

/// Runs the adapter on some input. Returns its standard output, its standard error and whether it succeeded.
fn run_adapter(input: &[u8]) -> (Vec<u8>, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basalthill-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let out = child.wait_with_output().unwrap();
    (out.stdout, String::from_utf8(out.stderr).unwrap(), out.status.success())
}

#[test]
fn each_frame_gets_a_reply_and_the_adapter_exits_at_the_end_of_its_input() {
    let mut input = start_frame(SETTINGS);
    input.extend(frame(2, &[], &[]));
    let (out, err, ok) = run_adapter(&input);
    assert!(ok && err.is_empty(), "{err}");
    assert_eq!(out, [reply(&[]), reply(&[])].concat());
}

#[test]
fn malformed_input_gets_one_line_of_error_and_no_reply() {
    for input in [
        start_frame("not json"),
        bytes("00000020 00000000"),
        bytes("0000"),
        frame(1, &["07 00000003 0000000000000001"], &[]),
    ] {
        let (out, err, ok) = run_adapter(&input);
        assert!(!ok && out.is_empty());
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(err.starts_with("basalthill-sim: ") && !err.contains("panicked"), "{err}");
    }
}

#[test]
fn killed_instance_may_restart_in_the_same_frame() {
    let start = format!("01 00000003 0000000000000008 00000000 {:08x}", SETTINGS.len());
    let request =
        "03 00000003 0000000000000009 0000 0000 0000000000000001 00000000ffffffff 0000000000000000 00000000
         00000000 00";
    let mut input = start_frame(SETTINGS);
    input.extend(frame(
        2,
        &[request, "0a 00000003", &start, "06 00000003 0000000000000009"],
        SETTINGS.as_bytes(),
    ));
    let (out, err, ok) = run_adapter(&input);
    assert!(ok, "{err}");
    let start_reply = reply(&[]);
    assert!(out.starts_with(&start_reply));
    let codes: Vec<u8> = out[start_reply.len() + 8..].chunks(32).map(|record| record[0]).collect();
    assert_eq!(
        codes,
        [5],
        "expected only the first timer of the new instance: the actions of the killed one have no effect"
    );
}
