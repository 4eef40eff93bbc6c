//! The program: its sub-commands, exit codes, readiness, reaction to signals, and the examples.

mod common;

use basalthill_standin::client::{Client, Reply};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, Response};
use common::{statement_text, SETTINGS};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basalthill"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "LOG", "LOG_FORMAT"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command
}

/// Writes a configuration file whose name contains this process's id, and returns its path.
fn config_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Replaces the file in one step, so that a reader never finds it empty or incomplete.
fn replace_file(path: &Path, text: &str) {
    let new = path.with_extension("json.new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(&new, path).unwrap();
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

/// Starts a router that is configured by environment variables, as in production. Returns its process and
/// its address.
fn start_router(host: &Host) -> (Child, SocketAddr) {
    let mut child = spawn_router(host, "127.0.0.1:0");
    let addr = address_after(child.stderr.take().unwrap(), "listens on ");
    (child, addr)
}

fn spawn_router(host: &Host, listen: &str) -> Child {
    let known = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let discovery = Discovery::start(known.clone()).unwrap();
    let text = format!(r#"{{"seed":"1","known":{known},"settings":{SETTINGS}}}"#);
    program()
        .env("BALANCER_NAME", "n1")
        .env("BALANCER_LISTEN", listen)
        .env("BALANCER_DISCOVERY", discovery.addr.to_string())
        .env("BALANCER_CONFIG", config_file(&format!("serve-{}", host.addr.port()), &text))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Returns the address that a program prints after `words`. The output that follows is read and dropped.
fn address_after(stream: impl Read + Send + 'static, words: &str) -> SocketAddr {
    let mut lines = BufReader::new(stream).lines();
    let line = lines.find_map(|line| line.unwrap().split_once(words).map(|(_, rest)| rest.to_string()));
    std::thread::spawn(move || lines.for_each(drop));
    line.unwrap().trim().parse().unwrap()
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

/// A process that is killed on drop, so that it does not keep running after a failed test.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Starts the toy deployment of `examples/` with these further arguments. Returns its process and the address
/// of its discovery.
fn start_toy_deployment(arguments: &[&str]) -> (ChildGuard, SocketAddr) {
    let toy = PathBuf::from(env!("CARGO_BIN_EXE_basalthill")).with_file_name("examples").join("toy");
    assert!(
        toy.exists(),
        "{toy:?} doesn't exist; build it with `cargo build -p basalthill-router --example toy` (same profile)"
    );
    let mut command = Command::new(toy);
    command.args(["serve", "127.0.0.1:0"]).args(arguments).stdout(Stdio::piped());
    let mut deployment = ChildGuard(command.spawn().unwrap());
    let discovery = address_after(deployment.0.stdout.take().unwrap(), "discovery at ");
    (deployment, discovery)
}

#[test]
fn version_and_help_are_printed() {
    let output = program().arg("version").output().unwrap();
    assert!(output.status.success() && printed(&output).starts_with("basalthill "), "{output:?}");
    let output = program().arg("--help").output().unwrap();
    for word in ["serve", "check-config", "version", "ready"] {
        assert!(printed(&output).contains(word), "{output:?}");
    }
}

#[test]
fn an_invalid_configuration_gets_one_line_with_its_key_and_exit_code_2() {
    let missing = program().args(["check-config", "--config", "/nowhere/at/all.json"]).output().unwrap();
    let settings = SETTINGS.replace("\"strong\"", "\"odd\"");
    let config =
        format!(r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{settings}}}"#);
    let path = config_file("bad", &config);
    let bad = program().arg("serve").arg("--config").arg(&path).output().unwrap();
    let none = program().output().unwrap();
    let cases = [
        (&missing, "/nowhere/at/all.json"),
        (&bad, "settings.familyInfo.consistency[2]"),
        (&none, "BALANCER_CONFIG"),
    ];
    for (output, key) in cases {
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        let lines = printed(output);
        assert!(lines.contains(key) && lines.trim_end().lines().count() == 1, "{lines}");
    }
    let config = config.replace("\"odd\"", "\"strong\"");
    let path = config_file("good", &config);
    let good = program().arg("check-config").env("BALANCER_CONFIG", path).output().unwrap();
    assert!(good.status.success(), "{}", printed(&good));
}

#[test]
fn log_lines_are_text_or_on_request_json_objects() {
    let settings = SETTINGS;
    let config =
        format!(r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{settings}}}"#);
    let path = config_file("log-format", &config);
    // A discovery address in the environment that differs from the one in the file gives a warning.
    let log_of = |format: &str| {
        let mut command = program();
        command.arg("check-config").arg("--config").arg(&path).env("BALANCER_DISCOVERY", "127.0.0.1:2");
        let output = command.args(["--log-format", format]).output().unwrap();
        assert!(output.status.success(), "{}", printed(&output));
        String::from_utf8(output.stderr).unwrap()
    };
    let message = "configuration: an environment variable overrides the file's discovery";
    let text = log_of("text");
    let (timestamp, rest) = text.split_once(' ').unwrap();
    assert!(timestamp.parse::<f64>().is_ok_and(|seconds| seconds > 1.7e9), "{text}");
    assert_eq!(rest, format!("WARN {message}\n"));
    let json = log_of("json");
    let line: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((&line["level"], &line["message"]), (&"WARN".into(), &message.into()), "{json}");
    assert!(line["timestamp"].as_f64().is_some_and(|seconds| seconds > 1.7e9), "{json}");
    let unknown = program().args(["version", "--log-format", "xml"]).output().unwrap();
    assert_eq!(unknown.status.code(), Some(2));
}

#[test]
fn sigterm_drains_accepted_requests_and_exits_with_0() {
    let host = Host::start(|text| match text.contains("INSERT") {
        true => (Response::RowOnRelease(b"x".to_vec()), vec![("rank", "source".into())]),
        false => (Response::Row(b"x1=1".to_vec()), Vec::new()),
    })
    .unwrap();
    let (mut child, addr) = start_router(&host);
    let ready = program().args(["ready", "--listen", &addr.to_string()]).output().unwrap();
    assert!(ready.status.success(), "{}", printed(&ready));
    let mut client = Client::connect(addr).unwrap();
    client.send(&statement_text("write", "").replace("d=480", "d=2900")).unwrap();
    host.wait_for_statement("INSERT").unwrap();
    signal(&child, "TERM");
    host.release();
    assert_eq!(client.read_reply().unwrap(), Reply::Row(b"x".to_vec()));
    assert!(client.wait_for_close());
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let ready = program().args(["ready", "--listen", &addr.to_string()]).output().unwrap();
    assert_eq!(ready.status.code(), Some(1), "{}", printed(&ready));
}

#[test]
fn the_address_can_be_bound_at_once_after_sigkill() {
    let host = Host::start(|_| (Response::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let (mut child, addr) = start_router(&host);
    let mut client = Client::connect(addr).unwrap();
    assert_eq!(client.query("").unwrap(), Reply::Empty);
    signal(&child, "KILL");
    child.wait().unwrap();
    assert!(client.wait_for_close());
    let again = TcpListener::bind(addr);
    assert!(again.is_ok(), "the address is still in use: {again:?}");
}

/// The address is of 127.0.0.2, which no other test uses: a released port of 127.0.0.1 may be assigned to a
/// socket of another test before the router binds to it.
#[test]
fn startup_waits_for_an_address_in_use() {
    let host = Host::start(|_| (Response::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let occupied = TcpListener::bind("127.0.0.2:0").unwrap();
    let addr = occupied.local_addr().unwrap();
    let mut child = spawn_router(&host, &addr.to_string());
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut log = Vec::new();
    let mut wait_for_line_with = |part: &str| {
        let found = lines.any(|line| {
            log.push(line);
            log.last().unwrap().contains(part)
        });
        assert!(found, "no line with {part:?} in {log:#?}");
    };
    wait_for_line_with("is in use");
    drop(occupied);
    wait_for_line_with("listens on");
    let rest = std::thread::spawn(move || lines.collect::<Vec<_>>());
    assert_eq!(Client::connect(addr).unwrap().query("").unwrap(), Reply::Empty);
    signal(&child, "TERM");
    let code = child.wait().unwrap().code();
    log.extend(rest.join().unwrap());
    assert_eq!(code, Some(0), "{log:#?}");
}

#[test]
fn sigterm_ends_the_wait_for_an_address_in_use() {
    let host = Host::start(|_| (Response::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut child = spawn_router(&host, &occupied.local_addr().unwrap().to_string());
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("is in use")));
    let started_at = Instant::now();
    signal(&child, "TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
}

/// Some requests are in flight to a host that hangs, and others are queued. After SIGTERM each client gets a
/// reply, and the program exits in time, even if further signals arrive.
#[test]
fn sigterm_with_a_hanging_host_answers_every_client_and_exits_in_time() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => (Response::Row(b"x1=1".to_vec()), Vec::new()),
        _ => (Response::NoResponse, Vec::new()),
    })
    .unwrap();
    let (mut child, addr) = start_router(&host);
    let mut clients: Vec<Client> = (0..30).map(|_| Client::connect(addr).unwrap()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let deadline = ["d=300", "d=1500", "d=2900"][n % 3];
        let write = statement_text("write", "").replace("id=9", &format!("id={n:02}"));
        client.send(&write.replace("d=480", deadline)).unwrap();
    }
    host.wait_for_statement("INSERT").unwrap();
    let started_at = Instant::now();
    signal(&child, "TERM");
    signal(&child, "HUP");
    signal(&child, "TERM");
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(matches!(client.read_reply().unwrap(), Reply::Error(..)), "client {n}");
        assert!(client.wait_for_close(), "client {n}");
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    // The platform may kill the router after the longest deadline, limited to 3 s, plus 0.7 s.
    assert!(started_at.elapsed() < Duration::from_millis(3700), "{:?}", started_at.elapsed());
}

/// A router is ready when it answers an empty query. Without an endpoint list it rejects requests.
#[test]
fn a_restart_without_discovery_is_ready_in_time_with_any_last_known_list() {
    let host = Host::start(|_| (Response::Row(b"x1=1".to_vec()), vec![("rank", "source".into())])).unwrap();
    let host_addr = host.addr.to_string();
    let outdated = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let unreachable: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let empty = endpoint_list(1, true, &[]);
    let cases = [
        ("null", unreachable, false),
        ("null", unresponsive.local_addr().unwrap(), false),
        (empty.as_str(), unreachable, false),
        (outdated.as_str(), unreachable, true),
        (outdated.as_str(), unresponsive.local_addr().unwrap(), true),
    ];
    let start = |n: usize, known: &str, discovery: SocketAddr| {
        let text = format!(r#"{{"seed":"1","known":{known},"settings":{SETTINGS}}}"#);
        let child = program()
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", config_file(&format!("ready-{n}-{}", host.addr.port()), &text))
            .stderr(Stdio::piped())
            .spawn();
        let mut child = ChildGuard(child.unwrap());
        let addr = address_after(child.0.stderr.take().unwrap(), "listens on ");
        (child, addr)
    };
    let started_at = Instant::now();
    let started: Vec<_> = cases.iter().enumerate().map(|(n, c)| start(n, c.0, c.1)).collect();
    for ((known, discovery, served), (_child, addr)) in cases.iter().zip(&started) {
        let case = format!("known {known:.40}, discovery {discovery}");
        let mut client = Client::connect(*addr).unwrap();
        assert_eq!(client.query("").unwrap(), Reply::Empty, "{case}");
        assert!(started_at.elapsed() < Duration::from_secs(8), "{case}: {:?}", started_at.elapsed());
        let reply = client.query(&statement_text("write", "")).unwrap();
        match served {
            true => assert_eq!(reply, Reply::Row(b"x1=1".to_vec()), "{case}, host {host_addr}"),
            false => assert!(matches!(&reply, Reply::Error(code, Some(_)) if code == "53300"), "{case}"),
        }
    }
}

#[test]
fn sighup_reloads_the_file_and_an_invalid_file_changes_nothing() {
    let host = Host::start(|_| (Response::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let known = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let (one, two) = (Discovery::start(known.clone()).unwrap(), Discovery::start(known.clone()).unwrap());
    let text = |discovery: SocketAddr, name: &str, settings: &str| {
        format!(r#"{{"name":"{name}","discovery":"{discovery}","known":{known},"settings":{settings}}}"#)
    };
    let path = config_file(&format!("again-{}", host.addr.port()), &text(one.addr, "n1", SETTINGS));
    let child = program()
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", one.addr.to_string())
        .env("BALANCER_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A process that is still running after a failed test would keep the output of the tests open.
    let mut child = ChildGuard(child);
    let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines();
    let mut log_line_with =
        |part: &str| lines.find(|line| line.as_ref().unwrap().contains(part)).unwrap().unwrap();
    let addr = log_line_with("listens on").split_once("listens on ").unwrap().1.parse().unwrap();
    let mut client = Client::connect(addr).unwrap();
    let complete = text(two.addr, "n1", SETTINGS);
    let invalid = [
        (complete[..complete.len() / 2].to_string(), "(file)"),
        (
            text(two.addr, "n1", &SETTINGS.replace("\"strong\"", "\"odd\"")),
            "settings.familyInfo.consistency[2]",
        ),
        (complete.replace(&two.addr.to_string(), "nowhere"), "discovery"),
    ];
    for (text, key) in invalid {
        replace_file(&path, &text);
        signal(&child.0, "HUP");
        let line = log_line_with("stays in force");
        assert!(line.contains(key), "{line}");
        assert_eq!(client.query("").unwrap(), Reply::Empty, "the connection stays open");
    }
    std::fs::remove_file(&path).unwrap();
    signal(&child.0, "HUP");
    log_line_with("stays in force");
    // A file that is missing for a short time, for example while it is replaced, is still read.
    signal(&child.0, "HUP");
    std::thread::sleep(Duration::from_millis(200));
    replace_file(&path, &text(one.addr, "n1", SETTINGS));
    let line = log_line_with("configuration: ");
    assert!(line.contains("read again, discovery stays"), "{line}");
    assert!(two.state.lock().requests.is_empty(), "a discovery address from an invalid file was used");
    // After several signals at once the latest file takes effect.
    replace_file(&path, &text(two.addr, "another", SETTINGS));
    (0..20).for_each(|_| signal(&child.0, "HUP"));
    log_line_with("name has changed, which needs a restart");
    assert!(two.state.wait(|state| (!state.requests.is_empty()).then_some(())).is_some());
    assert_eq!(client.query("").unwrap(), Reply::Empty);
    signal(&child.0, "HUP");
    signal(&child.0, "TERM");
    assert!(client.wait_for_close());
    assert_eq!(child.0.wait().unwrap().code(), Some(0));
}

/// Runs the commands of `examples/README.md`, with ports that the test chooses.
#[test]
fn the_example_serves_the_queries_of_its_readme() {
    let root = repository_root();
    let (_deployment, discovery) = start_toy_deployment(&[]);
    let router = program()
        .args(["serve", "--config"])
        .arg(root.join("examples/router.json"))
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", discovery.to_string())
        .stderr(Stdio::piped())
        .spawn();
    let mut router = ChildGuard(router.unwrap());
    let listen = address_after(router.0.stderr.take().unwrap(), "listens on ").to_string();
    let page = std::fs::read_to_string(root.join("examples/README.md")).unwrap();
    let commands: Vec<&str> =
        page.lines().filter_map(|line| line.split_once("basalthill -- ")).map(|parts| parts.1).collect();
    let queries: Vec<&str> = commands.into_iter().filter(|c| c.starts_with("query ")).collect();
    assert_eq!(queries.len(), 2);
    for line in queries {
        let words: Vec<&str> = line.split(' ').map(|w| if w.contains(':') { &listen } else { w }).collect();
        // A replica may serve a read before it has applied the latest write.
        let query = || program().args(&words).output().unwrap();
        let served = (0..100).any(|_| printed(&query()) == "served: hello\n");
        assert!(served, "{line}: {}", printed(&query()));
        // `ask`, the former name of the sub-command, is still an alias.
        let alias = program().arg("ask").args(&words[1..]).output().unwrap();
        assert_eq!(alias.status.code(), Some(0), "{line}: {}", printed(&alias));
    }
    signal(&router.0, "TERM");
    assert_eq!(router.0.wait().unwrap().code(), Some(0));
}

/// Runs the second part of `examples/README.md`: replicas lag by 800 ms, and a session reads its write
/// immediately, also through a router that starts after the first router was killed.
#[test]
fn the_example_with_local_settings_gives_read_your_writes() {
    let root = repository_root();
    let page = std::fs::read_to_string(root.join("examples/README.md")).unwrap();
    assert!(page.contains("--settings examples/basalthill.kdl"));
    let statements: Vec<&str> = page.split("-c \"").skip(1).filter_map(|s| s.split('"').next()).collect();
    let [write, read] = statements[..] else { panic!("{statements:?}") };
    for (settings, expected) in [(false, ""), (true, "mine")] {
        let (_deployment, discovery) = start_toy_deployment(&["800"]);
        let router = || {
            let mut command = program();
            command.args(["serve", "--config"]).arg(root.join("examples/router.json"));
            if settings {
                command.arg("--settings").arg(root.join("examples/basalthill.kdl"));
            }
            let command = command.env("BALANCER_LISTEN", "127.0.0.1:0").stderr(Stdio::piped());
            let child = command.env("BALANCER_DISCOVERY", discovery.to_string()).spawn();
            let mut child = ChildGuard(child.unwrap());
            let listen = address_after(child.0.stderr.take().unwrap(), "listens on ");
            (child, listen)
        };
        let query = |listen, text: &str| Client::connect(listen).unwrap().query(text).unwrap();
        let (first, listen) = router();
        assert_eq!(query(listen, write), Reply::Row(b"mine".to_vec()));
        assert_eq!(query(listen, read), Reply::Row(expected.as_bytes().to_vec()), "settings: {settings}");
        drop(first);
        let (_second, listen) = router();
        assert_eq!(query(listen, read), Reply::Row(expected.as_bytes().to_vec()), "settings: {settings}");
    }
}
