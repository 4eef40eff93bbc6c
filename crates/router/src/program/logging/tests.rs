use super::rate_limit::RateLimiter;
use super::*;
use serde_json::Value;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A writer that collects the lines of a test.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(String::from_utf8(line.to_vec()).unwrap());
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the lines that `events` produces at level info in this format, after `dropped` lines were dropped.
fn lines_of(format: LogFormat, dropped: u32, events: impl FnOnce()) -> Vec<String> {
    let (lines, limiter) = (Lines::default(), Arc::new(RateLimiter::default()));
    (0..dropped).for_each(|_| limiter.count_dropped());
    let output = lines.clone();
    let subscriber = subscriber(LogLevel::Info, format, limiter, move || output.clone());
    tracing::subscriber::with_default(subscriber, events);
    let lines = lines.0.lock().unwrap();
    lines.clone()
}

fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

#[test]
fn a_text_line_has_time_level_message_and_fields() {
    let before = unix_seconds();
    let lines = lines_of(LogFormat::Text, 0, || tracing::warn!(retries = 3, peer = %"n2", "no answer"));
    let [line] = &lines[..] else { panic!("{lines:?}") };
    let (timestamp, rest) = line.split_once(' ').unwrap();
    assert_eq!(rest, "WARN no answer retries=3 peer=n2\n");
    let (_, millis) = timestamp.split_once('.').unwrap();
    assert_eq!(millis.len(), 3, "{line}");
    // The timestamp is truncated to milliseconds.
    let timestamp: f64 = timestamp.parse().unwrap();
    assert!(timestamp >= before - 0.002 && timestamp <= unix_seconds() + 0.002, "{line}");
}

#[test]
fn a_json_line_is_one_object_with_the_same_content() {
    let before = unix_seconds();
    let events = || tracing::error!(retries = 3, peer = %"n\"2", ready = false, "no\nanswer");
    let lines = lines_of(LogFormat::Json, 2, events);
    let [line] = &lines[..] else { panic!("{lines:?}") };
    assert_eq!(line.matches('\n').count(), 1, "{line}");
    let mut object: Value = serde_json::from_str(line).unwrap();
    let timestamp = object.as_object_mut().unwrap().remove("timestamp").unwrap().as_f64().unwrap();
    assert!(timestamp >= before - 0.002 && timestamp <= unix_seconds() + 0.002, "{line}");
    let expected = serde_json::json!({
        "level": "ERROR",
        "target": module_path!(),
        "message": "no\nanswer",
        "dropped_lines": 2,
        "fields": {"retries": 3, "peer": "n\"2", "ready": false},
    });
    assert_eq!(object, expected);
}

#[test]
fn the_next_line_has_the_number_of_dropped_lines_once() {
    let events = || {
        tracing::info!("first");
        tracing::info!("second");
    };
    let lines = lines_of(LogFormat::Text, 7, events);
    assert!(lines[0].ends_with(" (7 lines left out) INFO first\n"), "{lines:?}");
    assert!(lines[1].ends_with(" INFO second\n") && !lines[1].contains("left out"), "{lines:?}");
}

#[test]
fn only_events_of_this_project_at_the_level_or_more_severe_are_logged() {
    let events = || {
        tracing::debug!("below the level");
        tracing::error!(target: "polling", "of another crate");
        tracing::info!(target: "basalthill_fleet::gossip", "of this project");
    };
    let lines = lines_of(LogFormat::Text, 0, events);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].ends_with(" INFO of this project\n"), "{lines:?}");
}

#[test]
fn a_burst_is_limited_and_events_of_other_crates_do_not_count() {
    let started_at = Instant::now();
    let events = || {
        for n in 0..MAX_LINES_PER_SECOND + 10 {
            tracing::info!(target: "polling", "not ours");
            tracing::debug!("below the level");
            tracing::info!("line {n}");
        }
    };
    let lines = lines_of(LogFormat::Text, 0, events);
    // If the machine is stalled for a second, the events fall into more than one window.
    if started_at.elapsed() < Duration::from_secs(1) {
        assert_eq!(lines.len(), MAX_LINES_PER_SECOND as usize);
    }
}

#[test]
fn each_second_has_its_limit_and_dropped_lines_are_counted() {
    let (limiter, start) = (RateLimiter::default(), Instant::now());
    let admitted = |after_ms: u64, lines: u32| {
        let now = start + Duration::from_millis(after_ms);
        (0..lines).filter(|_| limiter.admit(now)).count() as u32
    };
    assert_eq!(admitted(0, MAX_LINES_PER_SECOND - 1), MAX_LINES_PER_SECOND - 1);
    assert_eq!(admitted(999, 4), 1);
    assert_eq!(limiter.take_dropped(), 3);
    assert_eq!(limiter.take_dropped(), 0);
    assert_eq!(admitted(1000, MAX_LINES_PER_SECOND + 5), MAX_LINES_PER_SECOND);
    assert_eq!(limiter.take_dropped(), 5);
    assert_eq!(admitted(1999, 1), 0, "the window begins at its first line, at 1000 ms, and ends at 2000 ms");
    assert_eq!(admitted(5000, 1), 1);
}

/// An output that blocks each write until the test permits it.
struct BlockedOutput {
    open: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Returns immediately once the sender has been dropped.
        let _ = self.open.recv();
        self.written.send(line.to_vec()).unwrap();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn logging_to_a_blocked_output_does_not_block() {
    let (permit_sender, open) = channel();
    let (written, lines) = channel();
    let limiter = Arc::new(RateLimiter::default());
    let (mut queue, writer) = writer::spawn(BlockedOutput { open, written }, Arc::clone(&limiter)).unwrap();
    let started_at = Instant::now();
    for n in 0..1000 {
        queue.clone().write_all(format!("{n}\n").as_bytes()).unwrap();
    }
    drop(writer);
    assert!(
        started_at.elapsed() < Duration::from_secs(10),
        "blocked for {:?}, expected less than 10 s",
        started_at.elapsed()
    );
    drop(permit_sender);
    queue.flush().unwrap();
    drop(queue);
    let lines: Vec<Vec<u8>> = lines.iter().collect();
    let dropped = limiter.take_dropped() as usize;
    assert!(dropped >= 700, "{dropped} of 1000 lines were dropped, expected at least 700");
    assert_eq!(lines.len() + dropped, 1000, "each of the 1000 lines is either written or counted as dropped");
    assert_eq!(lines[..2], [b"0\n".to_vec(), b"1\n".to_vec()]);
}

#[test]
fn dropping_the_writer_flushes_the_queued_lines() {
    let (written, lines) = channel();
    let (_, open) = channel();
    let limiter = Arc::new(RateLimiter::default());
    let (queue, writer) = writer::spawn(BlockedOutput { open, written }, limiter).unwrap();
    for n in 0..100 {
        queue.clone().write_all(format!("{n}\n").as_bytes()).unwrap();
    }
    let started_at = Instant::now();
    drop(writer);
    // The flush times out after 100 ms, which a stalled machine may exceed.
    if started_at.elapsed() < Duration::from_millis(100) {
        assert_eq!(lines.try_iter().count(), 100);
    }
}
