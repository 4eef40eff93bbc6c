//! The program itself: sub-commands, exit codes, readiness, and the signal to stop.

mod common;

use basalthill_standin::client::{Answer, Client};
use basalthill_standin::discovery::{endpoint_list, Discovery, Endpoint};
use basalthill_standin::host::{Host, Reply};
use common::{statement_text, SETTINGS};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basalthill"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "LOG"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command
}

/// A configuration file of this test's own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

#[test]
fn the_version_and_the_help() {
    let output = program().arg("version").output().unwrap();
    assert!(output.status.success() && said(&output).starts_with("basalthill "), "{output:?}");
    let output = program().arg("--help").output().unwrap();
    for word in ["serve", "check-config", "version", "ready"] {
        assert!(said(&output).contains(word), "{output:?}");
    }
}

#[test]
fn a_bad_configuration_is_named_in_one_line_with_exit_code_2() {
    let missing = program().args(["check-config", "--config", "/nowhere/at/all.json"]).output().unwrap();
    let settings = SETTINGS.replace("\"strong\"", "\"odd\"");
    let config =
        format!(r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{settings}}}"#);
    let path = file("bad", &config);
    let bad = program().arg("serve").arg("--config").arg(&path).output().unwrap();
    let none = program().output().unwrap();
    let cases = [
        (&missing, "/nowhere/at/all.json"),
        (&bad, "settings.familyInfo.consistency[2]"),
        (&none, "BALANCER_CONFIG"),
    ];
    for (output, key) in cases {
        assert_eq!(output.status.code(), Some(2), "{output:?}");
        let said = said(output);
        assert!(said.contains(key) && said.trim_end().lines().count() == 1, "{said}");
    }
    let config = config.replace("\"odd\"", "\"strong\"");
    let path = file("good", &config);
    let good = program().arg("check-config").env("BALANCER_CONFIG", path).output().unwrap();
    assert!(good.status.success(), "{}", said(&good));
}

/// A router started as in service, by its variables, and where it listens.
fn started(host: &Host) -> (Child, SocketAddr) {
    let mut child = spawned(host, "127.0.0.1:0");
    let addr = after(child.stderr.take().unwrap(), "listens on ");
    (child, addr)
}

fn spawned(host: &Host, listen: &str) -> Child {
    let known = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let discovery = Discovery::start(known.clone()).unwrap();
    let text = format!(r#"{{"seed":"1","known":{known},"settings":{SETTINGS}}}"#);
    program()
        .env("BALANCER_NAME", "n1")
        .env("BALANCER_LISTEN", listen)
        .env("BALANCER_DISCOVERY", discovery.addr.to_string())
        .env("BALANCER_CONFIG", file(&format!("serve-{}", host.addr.port()), &text))
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// The address that a program prints after some words; what it prints later is read and dropped.
fn after(stream: impl Read + Send + 'static, words: &str) -> SocketAddr {
    let mut lines = BufReader::new(stream).lines();
    let line = lines.find_map(|line| line.unwrap().split_once(words).map(|(_, rest)| rest.to_string()));
    std::thread::spawn(move || lines.for_each(drop));
    line.unwrap().trim().parse().unwrap()
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

#[test]
fn on_sigterm_it_answers_what_it_has_taken_and_ends_with_0() {
    let host = Host::start(|text| match text.contains("INSERT") {
        true => (Reply::RowOnRelease(b"x".to_vec()), vec![("rank", "source".into())]),
        false => (Reply::Row(b"x1=1".to_vec()), Vec::new()),
    })
    .unwrap();
    let (mut child, addr) = started(&host);
    let ready = program().args(["ready", "--listen", &addr.to_string()]).output().unwrap();
    assert!(ready.status.success(), "{}", said(&ready));
    let mut client = Client::connect(addr).unwrap();
    client.send(&statement_text("write", "").replace("d=480", "d=2900")).unwrap();
    host.wait_for_statement("INSERT").unwrap();
    signal(&child, "TERM");
    host.release();
    assert_eq!(client.read_answer().unwrap(), Answer::Row(b"x".to_vec()));
    assert!(client.is_closed());
    assert_eq!(child.wait().unwrap().code(), Some(0));
    let ready = program().args(["ready", "--listen", &addr.to_string()]).output().unwrap();
    assert_eq!(ready.status.code(), Some(1), "{}", said(&ready));
}

#[test]
fn killed_outright_it_listens_again_at_once() {
    let host = Host::start(|_| (Reply::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let (mut child, addr) = started(&host);
    let mut client = Client::connect(addr).unwrap();
    assert_eq!(client.query("").unwrap(), Answer::Empty);
    signal(&child, "KILL");
    child.wait().unwrap();
    assert!(client.is_closed());
    let again = TcpListener::bind(addr);
    assert!(again.is_ok(), "the address is free again: {again:?}");
}

#[test]
fn an_address_that_an_earlier_process_still_holds_is_waited_for() {
    let host = Host::start(|_| (Reply::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = held.local_addr().unwrap();
    let mut child = spawned(&host, &addr.to_string());
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("is in use")));
    drop(held);
    assert!(lines.any(|line| line.unwrap().contains("listens on")));
    std::thread::spawn(move || lines.for_each(drop));
    assert_eq!(Client::connect(addr).unwrap().query("").unwrap(), Answer::Empty);
    signal(&child, "TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_signal_that_comes_while_the_address_is_waited_for_is_heard() {
    let host = Host::start(|_| (Reply::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut child = spawned(&host, &held.local_addr().unwrap().to_string());
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("is in use")));
    let began = Instant::now();
    signal(&child, "TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// Requests are out at hosts that hang, and others behind them: each gets its answer, and the program ends in
/// time, whatever further signals come.
#[test]
fn on_sigterm_with_hosts_that_hang_all_is_answered_and_it_ends_in_time() {
    let host = Host::start(|text| match text {
        "SHOW vitals" => (Reply::Row(b"x1=1".to_vec()), Vec::new()),
        _ => (Reply::NoAnswer, Vec::new()),
    })
    .unwrap();
    let (mut child, addr) = started(&host);
    let mut clients: Vec<Client> = (0..30).map(|_| Client::connect(addr).unwrap()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let patience = ["d=300", "d=1500", "d=2900"][n % 3];
        let write = statement_text("write", "").replace("id=9", &format!("id={n:02}"));
        client.send(&write.replace("d=480", patience)).unwrap();
    }
    host.wait_for_statement("INSERT").unwrap();
    let began = Instant::now();
    signal(&child, "TERM");
    signal(&child, "HUP");
    signal(&child, "TERM");
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(matches!(client.read_answer().unwrap(), Answer::Error(..)), "client {n}");
        assert!(client.is_closed(), "client {n}");
    }
    assert_eq!(child.wait().unwrap().code(), Some(0));
    // The longest deadline, three seconds at most, and what the operators leave beyond it.
    assert!(began.elapsed() < Duration::from_millis(3700), "{:?}", began.elapsed());
}

/// Ready means that a client's empty query is answered. Without any list of members requests are turned away.
#[test]
fn restarted_while_discovery_is_down_it_is_ready_in_time_whatever_list_it_had() {
    let host = Host::start(|_| (Reply::Row(b"x1=1".to_vec()), vec![("rank", "source".into())])).unwrap();
    let gone = host.addr.to_string();
    let stale = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let nobody: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let empty = endpoint_list(1, true, &[]);
    let cases = [
        ("null", nobody, false),
        ("null", silent.local_addr().unwrap(), false),
        (empty.as_str(), nobody, false),
        (stale.as_str(), nobody, true),
        (stale.as_str(), silent.local_addr().unwrap(), true),
    ];
    let start = |n: usize, known: &str, discovery: SocketAddr| {
        let text = format!(r#"{{"seed":"1","known":{known},"settings":{SETTINGS}}}"#);
        let child = program()
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", "127.0.0.1:0")
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", file(&format!("ready-{n}-{}", host.addr.port()), &text))
            .stderr(Stdio::piped())
            .spawn();
        let mut child = Guard(child.unwrap());
        let addr = after(child.0.stderr.take().unwrap(), "listens on ");
        (child, addr)
    };
    let began = Instant::now();
    let started: Vec<_> = cases.iter().enumerate().map(|(n, c)| start(n, c.0, c.1)).collect();
    for ((known, discovery, served), (_child, addr)) in cases.iter().zip(&started) {
        let case = format!("known {known:.40}, discovery {discovery}");
        let mut client = Client::connect(*addr).unwrap();
        assert_eq!(client.query("").unwrap(), Answer::Empty, "{case}");
        assert!(began.elapsed() < Duration::from_secs(8), "{case}: {:?}", began.elapsed());
        let answer = client.query(&statement_text("write", "")).unwrap();
        match served {
            true => assert_eq!(answer, Answer::Row(b"x1=1".to_vec()), "{case}, {gone}"),
            false => assert!(matches!(&answer, Answer::Error(code, Some(_)) if code == "53300"), "{case}"),
        }
    }
}

#[test]
fn on_sighup_the_file_is_read_again_and_an_unsound_one_changes_nothing() {
    let host = Host::start(|_| (Reply::Row(b"x1=1".to_vec()), Vec::new())).unwrap();
    let known = endpoint_list(1, true, &[Endpoint::new("s-1", host.addr, 2, "active", "source")]);
    let (one, two) = (Discovery::start(known.clone()).unwrap(), Discovery::start(known.clone()).unwrap());
    let text = |discovery: SocketAddr, name: &str, settings: &str| {
        format!(r#"{{"name":"{name}","discovery":"{discovery}","known":{known},"settings":{settings}}}"#)
    };
    let path = file(&format!("again-{}", host.addr.port()), &text(one.addr, "n1", SETTINGS));
    let child = program()
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", one.addr.to_string())
        .env("BALANCER_CONFIG", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // One that outlives a test that fails would hold the tests' output open.
    let mut child = Guard(child);
    let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines();
    let mut say = |part: &str| lines.find(|line| line.as_ref().unwrap().contains(part)).unwrap().unwrap();
    let addr = say("listens on").split_once("listens on ").unwrap().1.parse().unwrap();
    let mut client = Client::connect(addr).unwrap();
    let whole = text(two.addr, "n1", SETTINGS);
    let unsound = [
        (whole[..whole.len() / 2].to_string(), "(file)"),
        (
            text(two.addr, "n1", &SETTINGS.replace("\"strong\"", "\"odd\"")),
            "settings.familyInfo.consistency[2]",
        ),
        (whole.replace(&two.addr.to_string(), "nowhere"), "discovery"),
    ];
    for (text, key) in unsound {
        std::fs::write(&path, text).unwrap();
        signal(&child.0, "HUP");
        let line = say("stays in force");
        assert!(line.contains(key), "{line}");
        assert_eq!(client.query("").unwrap(), Answer::Empty, "the connection stays");
    }
    std::fs::remove_file(&path).unwrap();
    signal(&child.0, "HUP");
    say("stays in force");
    // One that is away for a moment, as when it is replaced, is read all the same.
    signal(&child.0, "HUP");
    std::thread::sleep(Duration::from_millis(200));
    std::fs::write(&path, text(one.addr, "n1", SETTINGS)).unwrap();
    let line = say("configuration: ");
    assert!(line.contains("read again, discovery stays"), "{line}");
    assert!(two.state.lock().requests.is_empty(), "nothing of an unsound file is taken over");
    // Several signals at once end with the newest file.
    std::fs::write(&path, text(two.addr, "another", SETTINGS)).unwrap();
    (0..20).for_each(|_| signal(&child.0, "HUP"));
    say("name has changed, which needs a restart");
    assert!(two.state.wait(|t| (!t.requests.is_empty()).then_some(())).is_some());
    assert_eq!(client.query("").unwrap(), Answer::Empty);
    signal(&child.0, "HUP");
    signal(&child.0, "TERM");
    assert!(client.is_closed());
    assert_eq!(child.0.wait().unwrap().code(), Some(0));
}

/// A process that does not outlive a test that fails.
struct Guard(Child);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The commands of `examples/README.md`, with ports of this test's own.
#[test]
fn the_example_does_what_its_page_says() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let toy = PathBuf::from(env!("CARGO_BIN_EXE_basalthill")).with_file_name("examples").join("toy");
    let deployment = Command::new(&toy).args(["serve", "127.0.0.1:0"]).stdout(Stdio::piped()).spawn();
    let mut deployment = Guard(deployment.unwrap());
    let discovery = after(deployment.0.stdout.take().unwrap(), "discovery at ");
    let router = program()
        .args(["serve", "--config"])
        .arg(root.join("examples/router.json"))
        .env("BALANCER_LISTEN", "127.0.0.1:0")
        .env("BALANCER_DISCOVERY", discovery.to_string())
        .stderr(Stdio::piped())
        .spawn();
    let mut router = Guard(router.unwrap());
    let listen = after(router.0.stderr.take().unwrap(), "listens on ").to_string();
    let page = std::fs::read_to_string(root.join("examples/README.md")).unwrap();
    let asked: Vec<&str> =
        page.lines().filter_map(|l| l.split_once("basalthill -- ask ")).map(|a| a.1).collect();
    assert_eq!(asked.len(), 2);
    for line in asked {
        let words: Vec<&str> = line.split(' ').map(|w| if w.contains(':') { &listen } else { w }).collect();
        // A replica may answer before it has applied what was written a moment ago.
        let ask = || program().arg("ask").args(&words).output().unwrap();
        let served = (0..100).any(|_| said(&ask()) == "served: hello\n");
        assert!(served, "{line}: {}", said(&ask()));
    }
    signal(&router.0, "TERM");
    assert_eq!(router.0.wait().unwrap().code(), Some(0));
}

/// The page's second part: replicas far behind, and a session that asks at once, also through a router that
/// was killed meanwhile.
#[test]
fn the_example_with_our_settings_shows_a_session_its_write_at_once() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let toy = PathBuf::from(env!("CARGO_BIN_EXE_basalthill")).with_file_name("examples").join("toy");
    let page = std::fs::read_to_string(root.join("examples/README.md")).unwrap();
    assert!(page.contains("--settings examples/basalthill.kdl"));
    let statements: Vec<&str> = page.split("-c \"").skip(1).filter_map(|s| s.split('"').next()).collect();
    let [write, read] = statements[..] else { panic!("{statements:?}") };
    for (settings, sees) in [(false, ""), (true, "mine")] {
        let deployment =
            Command::new(&toy).args(["serve", "127.0.0.1:0", "800"]).stdout(Stdio::piped()).spawn();
        let mut deployment = Guard(deployment.unwrap());
        let discovery = after(deployment.0.stdout.take().unwrap(), "discovery at ");
        let router = || {
            let mut command = program();
            command.args(["serve", "--config"]).arg(root.join("examples/router.json"));
            if settings {
                command.arg("--settings").arg(root.join("examples/basalthill.kdl"));
            }
            let command = command.env("BALANCER_LISTEN", "127.0.0.1:0").stderr(Stdio::piped());
            let child = command.env("BALANCER_DISCOVERY", discovery.to_string()).spawn();
            let mut child = Guard(child.unwrap());
            let listen = after(child.0.stderr.take().unwrap(), "listens on ");
            (child, listen)
        };
        let ask = |listen, text: &str| Client::connect(listen).unwrap().query(text).unwrap();
        let (first, listen) = router();
        assert_eq!(ask(listen, write), Answer::Row(b"mine".to_vec()));
        assert_eq!(ask(listen, read), Answer::Row(sees.as_bytes().to_vec()), "settings: {settings}");
        drop(first);
        let (_second, listen) = router();
        assert_eq!(ask(listen, read), Answer::Row(sees.as_bytes().to_vec()), "settings: {settings}");
    }
}
