//! The configuration of a router: defaults, environment variables, reloads, and the keys that errors name.

use basalthill_config::router::{parse, shutdown_timeout, LoadPhase, RouterConfig};
use basalthill_config::settings::LoadReportSource;
use basalthill_config::ConfigError;
use basalthill_policy::api::{Consistency, Effect, Time};
use serde_json::{json, Value};

fn valid_file() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:5432", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 100, "sockets": 512}, "later": [1],
        "known": {"version": 1, "full": true, "servers": []},
        "settings": {
            "balancers": 2, "me": 1, "quantum": 5000000, "zones": ["a"], "discovery": "automatic",
            "newKey": {},
            "profiles": [
                {"name": "w", "aim": 400, "deadline": 9000000000u64, "effect": "at_most_once", "credit": 4.0},
                {"name": "r", "aim": 400, "deadline": 1000, "effect": "idempotent", "keyScope": "all",
                    "credit": 1.0}],
            "parties": [{"name": "acme", "quotaPerS": 10.0}],
            "familyInfo": {"consistency": ["mutate", "lag_bound"], "lagAllowed": [0, 3000], "positions": true,
                "roleListed": "trailing", "tokenMode": "brought", "whenBehind": "await",
                "patience": 5, "zero": 0},
            "bounds": {"cancel": true, "connectTimeout": 250000000, "maxAttempts": 3, "parallelTries": true,
                "probes": true,
                "retryAfter": true},
            "rules": {"coldFrom": 0.2, "drainGrace": 1000, "fall": 1500, "fallMultiple": 3.0,
                "warmWithin": 15000},
            "reporting": {"columns": ["x0", "x1"], "via": "answers"}
        }
    })
}

fn load(value: &Value) -> Result<RouterConfig, ConfigError> {
    parse(value.to_string().as_bytes(), |_| None, LoadPhase::Startup)
}

#[test]
fn unknown_keys_are_ignored_and_missing_keys_have_defaults() {
    let config = load(&valid_file()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.listen.port(), config.seed),
        ("n1", 5432, 0x8c1f_30d2_7a5b_e964)
    );
    assert_eq!((config.limits.sockets, config.limits.memory_mb), (512, 100));
    assert_eq!(
        (config.deployment.idle_timeout, config.deployment.connect_timeout),
        (Time::ms(15_000), Time::ms(250))
    );
    assert_eq!(
        (config.deployment.load_reports, config.deployment.classes.as_slice()),
        (LoadReportSource::InResponses, &["w".to_string(), "r".into()][..])
    );
    let classes = &config.deployment.settings.classes;
    assert_eq!(
        (classes[0].effect, classes[1].consistency),
        (Effect::NonIdempotent, Consistency::BoundedStaleness(Time(3000)))
    );
    assert_eq!(
        shutdown_timeout(&config.deployment),
        Time::ms(3500),
        "a client timeout above 3 s counts as 3 s"
    );
    let mut file = valid_file();
    for key in ["limits", "known", "seed"] {
        file.as_object_mut().unwrap().remove(key);
    }
    let config = load(&file).unwrap();
    assert_eq!((config.limits.sockets, config.known_endpoints.is_null(), config.seed), (1024, true, 0));
}

#[test]
fn environment_variable_overrides_the_file() {
    let text = valid_file().to_string();
    let variables = |name: &str| match name {
        "BALANCER_LISTEN" => Some("127.0.0.2:6432".to_string()),
        "BALANCER_NAME" => Some("n1".to_string()),
        _ => None,
    };
    let config = parse(text.as_bytes(), variables, LoadPhase::Startup).unwrap();
    assert_eq!(
        (config.listen.to_string().as_str(), config.overridden_keys),
        ("127.0.0.2:6432", vec!["listen".to_string()])
    );
}

#[test]
fn on_reload_discovery_in_the_file_overrides_the_environment_variable() {
    let variables = |name: &str| (name == "BALANCER_DISCOVERY").then(|| "127.0.0.9:1".to_string());
    let read = |file: &Value, phase| parse(file.to_string().as_bytes(), variables, phase).unwrap();
    assert_eq!(read(&valid_file(), LoadPhase::Startup).discovery.to_string(), "127.0.0.9:1");
    let reloaded = read(&valid_file(), LoadPhase::Reload);
    assert_eq!(
        (reloaded.discovery.to_string().as_str(), reloaded.overridden_keys),
        ("127.0.0.1:8500", vec![])
    );
    let mut file = valid_file();
    file.as_object_mut().unwrap().remove("discovery");
    assert_eq!(read(&file, LoadPhase::Reload).discovery.to_string(), "127.0.0.9:1");
}

#[test]
fn changed_keys_that_need_a_restart_are_listed() {
    let started = load(&valid_file()).unwrap();
    let mut file = valid_file();
    (file["seed"], file["discovery"]) = (json!("1"), json!("127.0.0.1:1"));
    file["known"]["version"] = json!(2);
    assert!(started.keys_requiring_restart(&load(&file).unwrap()).is_empty());
    (file["listen"], file["limits"]["sockets"]) = (json!("127.0.0.1:1"), json!(600));
    file["settings"]["profiles"][0]["aim"] = json!(500);
    assert_eq!(started.keys_requiring_restart(&load(&file).unwrap()), ["listen", "limits", "settings"]);
}

#[test]
fn each_error_has_the_path_of_its_key() {
    let cases = [
        ("/listen", json!("nowhere"), "listen"),
        ("/discovery", json!(7), "discovery"),
        ("/name", Value::Null, "name"),
        ("/seed", json!("zz"), "seed"),
        ("/limits/sockets", json!(10), "limits.sockets"),
        ("/limits/sockets", json!("many"), "limits.sockets"),
        ("/known", json!([]), "known"),
        ("/settings", json!(3), "settings"),
        ("/settings/quantum", json!("soon"), "settings.quantum"),
        ("/settings/quantum", json!(0), "settings.quantum"),
        ("/settings/profiles", json!([]), "settings.familyInfo.consistency"),
        ("/settings/profiles/1/effect", json!("odd"), "settings.profiles[1].effect"),
        ("/settings/profiles/1/aim", json!(0), "settings.profiles[1].aim"),
        ("/settings/profiles/0/credit", json!("much"), "settings.profiles[0].credit"),
        ("/settings/familyInfo/consistency/1", json!("odd"), "settings.familyInfo.consistency[1]"),
        ("/settings/familyInfo/consistency", json!(["mutate"]), "settings.familyInfo.consistency"),
        ("/settings/familyInfo/lagAllowed", json!([0]), "settings.familyInfo.lagAllowed[1]"),
        ("/settings/familyInfo/roleListed", json!("odd"), "settings.familyInfo.roleListed"),
        ("/settings/familyInfo/tokenMode", json!("odd"), "settings.familyInfo.tokenMode"),
        ("/settings/familyInfo/whenBehind", json!("odd"), "settings.familyInfo.whenBehind"),
        ("/settings/reporting/via", json!("odd"), "settings.reporting.via"),
        ("/settings/bounds/maxAttempts", json!(0), "settings.bounds.maxAttempts"),
        ("/settings/bounds/connectTimeout", json!(0), "settings.bounds.connectTimeout"),
        ("/settings/rules/coldFrom", json!(2.0), "settings.rules.coldFrom"),
        ("/settings/rules/fallMultiple", json!(0.0), "settings.rules.fallMultiple"),
    ];
    for (pointer, value, key) in cases {
        let mut file = valid_file();
        *file.pointer_mut(pointer).unwrap() = value.clone();
        assert_eq!(
            load(&file).map_err(|error| error.key().to_string()).err().as_deref(),
            Some(key),
            "{pointer} = {value}"
        );
    }
    for text in [b"{", b"[]" as &[u8]] {
        let error = parse(text, |_| None, LoadPhase::Startup).unwrap_err();
        assert_eq!(error.key(), "(file)");
    }
    let mut file = valid_file();
    file["settings"]["bounds"].as_object_mut().unwrap().remove("probes");
    let error = load(&file).err().unwrap();
    assert_eq!(error.key(), "settings.bounds");
    assert!(
        matches!(&error, ConfigError::Invalid { problem, .. } if problem.to_string().contains("probes")),
        "{error}"
    );
}

#[test]
fn drain_grace_is_shortened_by_the_scheduling_delay() {
    let grace = |ms: u64| {
        let mut file = valid_file();
        file["settings"]["rules"]["drainGrace"] = (ms * 1_000_000).into();
        parse(file.to_string().as_bytes(), |_| None, LoadPhase::Startup)
            .unwrap()
            .deployment
            .settings
            .drain_grace
    };
    assert_eq!(grace(1000), Time::ms(850));
    assert_eq!(grace(250), Time::ms(100));
    assert_eq!(
        grace(100),
        Time(0),
        "a grace period below the scheduling delay leaves none: no request is sent after the notification"
    );
}

#[test]
fn error_is_one_line_with_key_value_and_what_is_allowed() {
    let cases = [
        ("/listen", json!("nowhere"), "listen: invalid address \"nowhere\", expected IP:PORT"),
        ("/name", Value::Null, "name: is missing, and BALANCER_NAME is not set"),
        ("/limits/sockets", json!(10), "limits.sockets: must be at least 48, found 10"),
        ("/known", json!([]), "known: must be an object"),
        ("/settings/rules/coldFrom", json!(2.5), "settings.rules.coldFrom: must be from 0 to 1, found 2.5"),
        (
            "/settings/reporting/via",
            json!("odd"),
            "settings.reporting.via: unknown value \"odd\", expected one of answers, probe, none",
        ),
        (
            "/settings/profiles/1/keyScope",
            json!("odd"),
            "settings.profiles[1].keyScope: unknown value \"odd\", expected one of all, zone, cell",
        ),
        (
            "/settings/familyInfo/whenBehind",
            json!("odd"),
            "settings.familyInfo.whenBehind: unknown value \"odd\", expected one of none, bounce, await",
        ),
        (
            "/settings/familyInfo/consistency/1",
            json!("odd"),
            "settings.familyInfo.consistency[1]: unknown value \"odd\", \
             expected one of eventual, lag_bound, causal, strong, mutate",
        ),
    ];
    for (pointer, value, line) in cases {
        let mut file = valid_file();
        *file.pointer_mut(pointer).unwrap() = value;
        assert_eq!(load(&file).unwrap_err().to_string(), line);
    }
}
