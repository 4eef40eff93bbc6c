//! Requirements of the platform on the router process, tested without the platform: the process loads only
//! allowed libraries, works without the denied system calls, starts no other processes and few threads, is
//! idle without requests, and leaks neither memory nor descriptors.

use basalthill_standin::client::{query, Client, Reply};
use basalthill_standin::deployment::Deployment;
use basalthill_standin::group::GroupBehavior;
use basalthill_standin::session_load::{ConnectionMode, SessionLoad};
use basalthill_standin::TIMEOUT;
use object::read::elf::{Dyn, ElfFile64, FileHeader, ProgramHeader};
use object::{elf, Endianness};
use seccompiler::{
    BpfProgram, SeccompAction, SeccompCmpArgLen, SeccompCmpOp, SeccompCondition, SeccompFilter, SeccompRule,
};
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_basalthill");

#[test]
fn the_program_links_dynamically_against_the_c_library_only() {
    let bytes = fs::read(PROGRAM).unwrap();
    let file = ElfFile64::<Endianness>::parse(&*bytes).unwrap();
    let (header, endian) = (file.elf_header(), file.endian());
    let segments = header.program_headers(endian, &*bytes).unwrap();
    assert!(
        segments.iter().any(|s| s.p_type(endian) == elf::PT_INTERP),
        "the program names no dynamic loader (PT_INTERP)"
    );
    let sections = header.sections(endian, &*bytes).unwrap();
    let (dynamic, strings) = sections.dynamic(endian, &*bytes).unwrap().unwrap();
    let strings = sections.strings(endian, &*bytes, strings).unwrap();
    let needed: Vec<String> = dynamic
        .iter()
        .filter(|d| d.d_tag.get(endian) == elf::DT_NEEDED)
        .map(|d| String::from_utf8_lossy(d.string(endian, strings).unwrap()).into_owned())
        .collect();
    assert!(needed.iter().any(|n| n == "libc.so.6"), "{needed:?}");
    let known = ["libc.so.6", "libgcc_s.so.1", "libm.so.6", "ld-linux-x86-64.so.2", "ld-linux-aarch64.so.1"];
    let others: Vec<_> = needed.iter().filter(|n| !known.contains(&n.as_str())).collect();
    assert!(others.is_empty(), "the program also loads {others:?}, which the platform may lack");
}

/// Installs a filter for this thread and all threads and processes that it starts: system calls that match a
/// rule fail with this error.
fn deny_system_calls(error: i32, calls: Vec<(i64, Vec<SeccompRule>)>) {
    let (rules, arch) = (BTreeMap::from_iter(calls), std::env::consts::ARCH.try_into().unwrap());
    let filter =
        SeccompFilter::new(rules, SeccompAction::Allow, SeccompAction::Errno(error as u32), arch).unwrap();
    let program: BpfProgram = filter.try_into().unwrap();
    seccompiler::apply_filter(&program).unwrap();
}

/// Returns a rule that matches if the argument, masked with `mask`, equals `value`. If `equal` is false, the
/// rule ignores the mask and matches if the argument differs from `value`.
fn argument_rule(argument: u8, mask: u64, equal: bool, value: u64) -> Vec<SeccompRule> {
    let op = if equal { SeccompCmpOp::MaskedEq(mask) } else { SeccompCmpOp::Ne };
    let condition = SeccompCondition::new(argument, SeccompCmpArgLen::Dword, op, value).unwrap();
    vec![SeccompRule::new(vec![condition]).unwrap()]
}

/// Denies the kinds of calls that the platform denies. The platform loads a library into each router process
/// (`LD_PRELOAD`) that denies starting other programs, fork, `io_uring`, `splice` and `sendfile`, and all
/// sockets but TCP and UDP over IPv4. Here a filter denies `clone3`, a plain fork by `clone`, `io_uring`,
/// `splice` and `sendfile`, and all sockets but those of IPv4, whatever their type. A process may be started
/// as `posix_spawn` does it, which is how the tests start the router.
fn deny_calls_as_on_the_platform() {
    let (thread, vfork) = (libc::CLONE_THREAD as u64, libc::CLONE_VFORK as u64);
    let fork = argument_rule(0, thread | vfork, true, 0);
    deny_system_calls(
        libc::EAFNOSUPPORT,
        vec![(libc::SYS_socket, argument_rule(0, 0, false, libc::AF_INET as u64))],
    );
    deny_system_calls(libc::EINVAL, vec![(libc::SYS_splice, vec![])]);
    let calls = [
        libc::SYS_io_uring_setup,
        libc::SYS_io_uring_enter,
        libc::SYS_io_uring_register,
        libc::SYS_sendfile,
        libc::SYS_clone3,
    ];
    let calls = calls.into_iter().map(|call| (call, vec![]));
    deny_system_calls(libc::ENOSYS, calls.chain([(libc::SYS_clone, fork)]).collect());
}

/// Returns the id and the state of each thread of a process.
fn thread_states(pid: u32) -> Vec<(String, char)> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap().flatten();
    let state = |task: &Path| {
        let stat = fs::read_to_string(task.join("stat")).ok()?;
        stat.rsplit_once(") ")?.1.chars().next()
    };
    tasks.filter_map(|t| Some((t.file_name().into_string().ok()?, state(&t.path())?))).collect()
}

/// Returns the `/proc/PID/stat` lines of the child processes of a process.
fn children(pid: u32) -> Vec<String> {
    let stats = fs::read_dir("/proc").unwrap().flatten().map(|d| d.path().join("stat"));
    let parent = |stat: &str| stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse::<u32>().ok();
    stats.filter_map(|s| fs::read_to_string(s).ok()).filter(|s| parent(s) == Some(pid)).collect()
}

fn send_read(deployment: &Deployment, n: usize) {
    let mut client = Client::connect(deployment.routers[0].addr).unwrap();
    let text = format!("SELECT v FROM records WHERE k = 'a' /* id=a{n},c=view,t=acme,d=900,cluster=2 */");
    assert!(matches!(client.query(&text), Ok(Reply::Row(_))), "request {n}");
}

#[test]
fn the_router_serves_reloads_and_stops_without_the_system_calls_that_the_platform_denies() {
    let serve_reload_and_stop = || {
        deny_calls_as_on_the_platform();
        assert!(std::net::TcpListener::bind("[::1]:0").is_err(), "the filter allows an IPv6 socket");
        assert!(std::os::unix::net::UnixDatagram::unbound().is_err(), "the filter allows a Unix socket");
        let test_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let mut deployment =
            Deployment::start(Path::new(PROGRAM), test_dir, 1, GroupBehavior::default(), None).unwrap();
        send_read(&deployment, 0);
        let load = SessionLoad {
            mode: ConnectionMode::Pooled,
            sessions: 16,
            reads: 600,
            status_every: 8,
            max_think_time_us: 0,
            seed: 24,
        };
        assert!(deployment.run_load(&load, 0, &[]).reads >= 600);
        let pid = deployment.routers[0].pid();
        assert!(children(pid).is_empty(), "child processes: {:?}", children(pid));
        assert!(thread_states(pid).len() <= 8, "expected at most 8 threads: {:?}", thread_states(pid));
        deployment.routers[0].signal("HUP").unwrap();
        assert!(deployment.routers[0].wait_for_log("configuration: read again").is_some());
        send_read(&deployment, 1);
        assert!(children(pid).is_empty(), "child processes: {:?}", children(pid));
        deployment.routers[0].stop_and_restart().unwrap();
        assert!(deployment.routers[0].wait_for_log("stopped").is_some());
        send_read(&deployment, 2);
    };
    // The filter can't be removed from the thread that installs it, nor from the threads and processes that
    // this thread starts.
    std::thread::spawn(serve_reload_and_stop).join().unwrap();
}

#[test]
fn an_idle_router_has_no_running_thread() {
    let test_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let deployment =
        Deployment::start(Path::new(PROGRAM), test_dir, 1, GroupBehavior::default(), None).unwrap();
    send_read(&deployment, 0);
    let (pid, until) = (deployment.routers[0].pid(), Instant::now() + TIMEOUT);
    let mut has_slept = BTreeMap::new();
    while has_slept.values().any(|slept| !slept) || has_slept.is_empty() {
        assert!(Instant::now() < until, "threads that did not sleep within {TIMEOUT:?}: {has_slept:?}");
        for (thread, state) in thread_states(pid) {
            *has_slept.entry(thread).or_insert(false) |= state == 'S';
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn completed_requests_leak_no_memory() {
    let test_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut deployment =
        Deployment::start(Path::new(PROGRAM), test_dir, 1, GroupBehavior::default(), None).unwrap();
    let load = |seed| SessionLoad {
        mode: ConnectionMode::Pooled,
        sessions: 16,
        reads: 3000,
        status_every: 8,
        max_think_time_us: 0,
        seed,
    };
    deployment.run_load(&load(1), 0, &[]);
    let before = deployment.routers[0].resident_kib().unwrap();
    (2..5).for_each(|seed| drop(deployment.run_load(&load(seed), 0, &[])));
    let after = deployment.routers[0].resident_kib().unwrap();
    assert!(
        after < before + 1024,
        "{before} KiB after 3,000 reads, {after} KiB after 12,000; limit 1,024 KiB more"
    );
}

/// Connects 24 clients: 8 send without reading, 8 send part of a large statement, and 8 send nothing.
fn misbehaving_clients(addr: std::net::SocketAddr) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..24).map(|_| Client::connect(addr).unwrap()).collect();
    for client in &mut clients[..8] {
        client.stream.set_write_timeout(Some(Duration::from_millis(20))).unwrap();
        let batch: Vec<u8> = (0..2000).flat_map(|_| query("")).collect();
        while client.stream.write_all(&batch).is_ok() {}
    }
    for client in &mut clients[8..16] {
        let statement = query(&format!("SELECT {}", "7".repeat(150_000)));
        let _ = client.stream.write_all(&statement[..100_000]);
    }
    clients
}

#[test]
fn floods_and_slow_clients_leak_neither_memory_nor_descriptors() {
    let test_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let deployment =
        Deployment::start(Path::new(PROGRAM), test_dir, 1, GroupBehavior::default(), None).unwrap();
    let router = &deployment.routers[0];
    let open_descriptors = || fs::read_dir(format!("/proc/{}/fd", router.pid())).unwrap().count();
    send_read(&deployment, 0);
    drop(misbehaving_clients(router.addr));
    // `before` has the number of open descriptors and the resident memory in KiB after the first round.
    let (mut before, mut n) = ((0, 0), 0);
    for round in 0..4 {
        let clients = misbehaving_clients(router.addr);
        for _ in 0..20 {
            n += 1;
            let started_at = Instant::now();
            send_read(&deployment, n);
            assert!(started_at.elapsed() < Duration::from_millis(900), "{:?}", started_at.elapsed());
        }
        drop(clients);
        let until = Instant::now() + TIMEOUT;
        // The clients have disconnected; idle connections to hosts may stay open.
        while round > 0 && open_descriptors() > before.0 + 8 {
            assert!(
                Instant::now() < until,
                "{} descriptors, {} after the first round; limit 8 more",
                open_descriptors(),
                before.0
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        if round == 0 {
            before = (open_descriptors(), router.resident_kib().unwrap());
        }
    }
    let after = router.resident_kib().unwrap();
    assert!(
        after < before.1 + 2048,
        "{} KiB after the first round, {after} KiB after the last; limit 2,048 KiB more",
        before.1
    );
}
