//! The local settings: the features that they configure, and the positions and keys that errors name.

use basalthill_config::local_settings::{load, parse, LocalSettings};
use basalthill_fleet::{Bounds, Budget, NodeId, Subject};
use basalthill_policy::api::Time;
use basalthill_session::token::KeyId;
use basalthill_session::{DefaultFloor, TokenDelivery};
use std::path::{Path, PathBuf};

const KEY: &str = r#"key 2 "9f1c64b0a2d75e3381c6f0aa47b95d1e" signs=#true"#;

fn error(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

/// The path of the local settings that are shipped with the program.
fn shipped_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/basalthill.kdl")
}

fn shipped_text() -> String {
    std::fs::read_to_string(shipped_path()).unwrap()
}

/// The shipped local settings with the section `fleet` enabled.
fn fleet_text() -> String {
    shipped_text().replace("/-fleet", "fleet")
}

#[test]
fn shipped_file_is_valid_and_shows_the_defaults() {
    let shipped = load(&shipped_path()).unwrap();
    let sessions = shipped.sessions.unwrap();
    let keys = sessions.config.keys.clone().unwrap();
    assert_eq!((keys.signing.id, keys.verifying.len()), (KeyId(2), 1));
    assert_eq!(
        (sessions.config.token_delivery, sessions.config.early_tokens),
        (TokenDelivery::WritesOnly, false)
    );
    assert_eq!(sessions.snapshot, None);
    let bare = parse("sessions floor=\"connection\"").unwrap().sessions.unwrap();
    assert_eq!((bare.config.keys, bare.config.token_delivery), (None, TokenDelivery::Never));
    let assert_same = |a: &Time, b: &Time| assert_eq!(a, b, "the shipped file must show the default");
    assert_same(&bare.config.skew, &sessions.config.skew);
    assert_same(&bare.config.settle_time, &sessions.config.settle_time);
    assert_same(&bare.config.lead, &sessions.config.lead);
    let defaults = parse(&format!("sessions floor=\"connection\" {{ tokens with=\"writes\" {{ {KEY} }} }}"));
    assert_eq!(defaults.unwrap().sessions.unwrap().config.keys.unwrap().max_age, keys.max_age);
}

#[test]
fn every_key_is_read_into_its_setting() {
    let text = format!(
        "sessions floor=\"arrival\" {{\n skew-ms 7\n settle-ms 0\n lead-ms 20\n \
         tokens with=\"reads\" early=#true max-age-s=60 {{\n {KEY}\n key 7 \"{}\"\n }}\n \
         snapshot \"/var/x\" max-age-s=9\n}}",
        "ab".repeat(32)
    );
    let sessions = parse(&text).unwrap().sessions.unwrap();
    let config = &sessions.config;
    assert_eq!(
        (config.default_floor, config.skew, config.settle_time),
        (DefaultFloor::ReadArrival, Time::ms(7), Time(0))
    );
    assert_eq!(
        (config.lead, config.token_delivery, config.early_tokens),
        (Time::ms(20), TokenDelivery::WritesAndReads, true)
    );
    let keys = config.keys.as_ref().unwrap();
    assert_eq!((keys.max_age, keys.verifying[0].id), (Time::ms(60_000), KeyId(7)));
    let snapshot = sessions.snapshot.unwrap();
    assert_eq!((snapshot.path.to_str(), snapshot.max_age), (Some("/var/x"), Time::ms(9000)));
    let words = [
        ("platform", DefaultFloor::Platform),
        ("nothing", DefaultFloor::RememberedOnly),
        ("router", DefaultFloor::RouterStart),
        ("connection", DefaultFloor::ConnectionAccept),
    ];
    for (word, default_floor) in words {
        let sessions = parse(&format!("sessions floor={word:?}")).unwrap().sessions.unwrap();
        assert_eq!(sessions.config.default_floor, default_floor);
    }
    assert_eq!(parse("").unwrap(), LocalSettings::default());
    assert!(parse("clients {\n farewell #true\n}").unwrap().close_notice);
    assert!(!parse("clients {\n farewell #false\n}").unwrap().close_notice);
}

#[test]
fn error_names_line_column_and_key() {
    let within = |inner: &str| format!("// ours\nsessions floor=\"connection\" {{\n    {inner}\n}}");
    let keys = |inner: &str| within(&format!("tokens with=\"writes\" {{\n        {inner}\n    }}"));
    let cases = [
        ("zones \"a\"".to_string(), "1:1: zones: unknown key"),
        ("clients {\n farewell 1\n}".into(), "2:11: clients.farewell: must be #true or #false"),
        ("clients {\n hello #true\n}".into(), "2:2: clients.hello: unknown key"),
        ("sessions".into(), "1:1: sessions.floor: is missing"),
        ("sessions floor=3".into(), "1:10: sessions.floor: must be a string"),
        (
            "sessions floor=\"x\"".into(),
            "1:1: sessions.floor: unknown value \"x\", expected one of platform, nothing, router",
        ),
        ("sessions flor=\"x\"".into(), "1:10: sessions.flor: unknown key"),
        (
            "sessions floor=\"arrival\"\nsessions floor=\"arrival\"".into(),
            "2:1: sessions: is given more than once",
        ),
        (within("skew-ms 5.5"), "3:13: sessions.skew-ms: must be an integer from 0 to 60000, found 5.5"),
        (within("skew-ms -1"), "3:13: sessions.skew-ms: must be an integer"),
        (within("lead-ms"), "3:5: sessions.lead-ms: takes 1 argument(s), found 0"),
        (within("lead-ms 5\n lead-ms 6"), "4:2: sessions.lead-ms: is given more than once"),
        (within("patience 5"), "3:5: sessions.patience: unknown key"),
        (within("tokens"), "3:5: sessions.tokens.with: is missing"),
        (within("tokens with=\"writes\""), "3:5: sessions.tokens: one key must have signs=#true, found none"),
        (within("tokens with=\"writes\" early=1"), "3:26: sessions.tokens.early: must be #true or #false"),
        (within("snapshot \"/x\" max-age-s=0"), "3:19: sessions.snapshot.max-age-s: must be an integer"),
        (keys("key 1 \"abc\" signs=#true"), "4:9: sessions.tokens.key: the secret must be at least 16 bytes"),
        (keys("key 1 \"zz\""), "4:9: sessions.tokens.key: the secret must be"),
        (keys("key 300 \"00\""), "4:13: sessions.tokens.key: must be an integer from 0 to 255"),
        (keys(&format!("{KEY}\n{KEY}")), "5:1: sessions.tokens.key: key number 2 is given more than once"),
        (
            keys(&format!("{KEY}\n{}", KEY.replace("key 2", "key 3"))),
            "5:1: sessions.tokens.key: only one key may have signs=#true, found a second",
        ),
        (keys("lock 1"), "4:9: sessions.tokens.lock: unknown key"),
    ];
    for (text, expected) in cases {
        let line = error(&text);
        assert!(line.starts_with(expected), "{text}\n{line}\n{expected}");
    }
    let line = error("sessions floor=\"arrival\" {\n  skew-ms 5\n");
    assert!(line.split(':').count() >= 3 && !line.contains('\n'), "{line}");
    let missing = load(Path::new("/nowhere/own.kdl")).unwrap_err();
    assert!(missing.to_string().starts_with("/nowhere/own.kdl: "), "{missing}");
}

#[test]
fn malformed_text_never_panics() {
    let text = shipped_text();
    for cut in (0..text.len()).step_by(13) {
        drop(parse(&text[..cut]));
        drop(parse(&format!("{}\u{fffd}{}", &text[..cut], &text[cut..])));
    }
}

#[test]
fn fleet_is_read_and_is_disabled_in_the_shipped_file() {
    assert_eq!(load(&shipped_path()).unwrap().fleet, None);
    let fleet = parse(&fleet_text()).unwrap().fleet.unwrap();
    assert_eq!((fleet.roster.len(), fleet.drift, fleet.limits.len()), (3, 0.01, 5));
    assert_eq!((fleet.keys.signing.id, fleet.keys.verifying.len()), (KeyId(2), 1));
    assert_eq!(fleet.listen, "0.0.0.0:7946".parse().ok());
    let peer = fleet.roster.get(NodeId::of("n2")).unwrap();
    assert_eq!((peer.addr.to_string().as_str(), peer.zone.as_deref()), ("10.0.0.12:7946", Some("b")));
    let limit = |name: &str| fleet.limits.iter().find(|l| l.name == name).unwrap();
    let acme = limit("acme");
    assert_eq!((&acme.subject, acme.reserved_fraction), (&Subject::Tenant("acme".into()), 0.1));
    assert_eq!(acme.bounds, Bounds::Rate { per_s: 400.0, burst: 400.0 });
    // A burst that the file does not give is the requests of one second, and at least one for each router.
    assert_eq!(limit("reports").bounds, Bounds::Rate { per_s: 50.0, burst: 50.0 });
    assert_eq!(limit("hosts").bounds, Bounds::Concurrent(60));
    assert_eq!(limit("retries").subject, Subject::Budget(Budget::Retries));
    let slow = parse(&fleet_text().replace("per-s=50", "per-s=0.5")).unwrap().fleet.unwrap();
    let reports = slow.limits.iter().find(|l| l.name == "reports").unwrap();
    assert_eq!(reports.bounds, Bounds::Rate { per_s: 0.5, burst: 3.0 });
}

#[test]
fn fleet_may_have_1024_routers() {
    let name = |n: usize| format!("router \"r{n}\" \"10.0.{}.{}:7946\"\n", n / 250, n % 250 + 1);
    let routers: String = (0..1024).map(name).collect();
    let fleet = parse(&format!("fleet {{\n{KEY}\n{routers}\n}}")).unwrap().fleet.unwrap();
    assert_eq!(fleet.roster.len(), 1024);
    assert!((0..1024).all(|n| fleet.roster.get(NodeId::of(&format!("r{n}"))).is_some()));
}

#[test]
fn order_of_limits_in_the_file_has_no_effect() {
    let limits = |lines: [&str; 2]| {
        let router = "router \"a\" \"127.0.0.1:1\"";
        parse(&format!("fleet {{\n{KEY}\n{router}\n{}\n{}\n}}", lines[0], lines[1])).unwrap().fleet.unwrap()
    };
    let (one, other) = ("limit \"x\" group=1 per-s=5", "limit \"y\" group=2 per-s=6");
    assert_eq!(limits([one, other]), limits([other, one]));
}

#[test]
fn error_in_a_fleet_names_line_and_key() {
    let change = |from: &str, to: &str| error(&fleet_text().replace(from, to));
    let cases = [
        (
            change("drift-percent 1", "drift-percent 11"),
            "fleet.drift-percent: must be a number from 0.01 to 10",
        ),
        (
            change("\"10.0.0.12:7946\"", "\"10.0.0.12\""),
            "fleet.router: invalid address \"10.0.0.12\", expected IP:PORT",
        ),
        (change("\"n2\"", "\"n1\""), "fleet.router: name \"n1\" is given more than once"),
        (
            change("burst=400", "burst=2"),
            "fleet.limit.burst: must be at least 3, one request for each router, found 2",
        ),
        (change("per-s=50", "at-once=50"), "fleet.limit: each-member and at-once can only be used together"),
        (change("at-once=60", "per-s=60"), "fleet.limit: each-member and at-once can only be used together"),
        (change("at-once=60", ""), "fleet.limit: takes either per-s, optionally with burst, or at-once"),
        (
            change("class=\"report\"", "class=\"report\" group=3"),
            "fleet.limit: takes exactly one of tenant, class",
        ),
        (change("class=\"report\"", ""), "fleet.limit: takes exactly one of tenant, class"),
        (change("\"reports\"", "\"acme\""), "fleet.limit: name \"acme\" is given more than once"),
        (change("alone-percent=10", "alone-percent=101"), "fleet.limit.alone-percent: must be a number"),
        (
            change("signs=#true\n    key 1 \"0a", "\n    key 1 \"0a"),
            "fleet: one key must have signs=#true, found none",
        ),
        (
            change("each-member=#true", "each-member=#false"),
            "fleet.limit.each-member: must be #true or left out, found #false",
        ),
        (
            change("budget=\"retries\"", "budget=\"tries\""),
            "fleet.limit.budget: unknown value \"tries\", expected one of retries",
        ),
        (
            change("group=2", "budget=\"retries\""),
            "fleet.limit: another limit has the same each-member or budget",
        ),
        (change("listen \"0.0.0.0:7946\"", "lisn 1"), "fleet.lisn: unknown key"),
    ];
    for (message, part) in cases {
        assert!(message.contains(part), "{message}\n{part}");
        let mut parts = message.split(':');
        assert!(parts.next().is_some_and(|line| line.parse::<usize>().is_ok_and(|n| n > 30)), "{message}");
    }
}
