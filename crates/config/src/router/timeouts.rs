//! Timeouts, sizes and counts that are constant: no setting changes them.

use crate::settings::Deployment;
use basalthill_policy::api::Time;

/// The maximum length of a statement in bytes: a value of 64 KiB in hexadecimal digits (128 KiB), and the
/// rest of the statement.
pub const MAX_STATEMENT_LEN: usize = 160 * 1024;

/// The most memory that one response takes while it is received, in bytes: a value of 64 KiB with its
/// headers, once as it is received and once as it is passed on.
pub const MAX_RESPONSE_MEMORY: usize = 160 * 1024;

/// The length in bytes up to which a statement is received without one of the permits for large statements.
pub const LARGE_STATEMENT_LEN: usize = 16 * 1024;

/// The maximum number of reads of one connection that are executed concurrently when a client pipelines
/// commands.
pub const MAX_CONCURRENT_READS: usize = 4;

/// The router closes a host connection that has been idle for this fraction of the idle timeout in the
/// settings. The host closes it at the idle timeout, and no request must be sent while it does.
pub const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The longest pause within a response. A host that has sent part of a response and then nothing for this
/// long is not expected to send the rest.
pub const RESPONSE_STALL_TIMEOUT: Time = Time::ms(100);

/// The time for which a host connection is not reused after a response. Data that the host sends directly
/// after the response arrives within this time, so it is not taken for the response to the next query.
pub const HOST_REUSE_DELAY: Time = Time::ms(2);

/// The time for which a client without an open request must have been idle before it may be evicted to free a
/// descriptor. A client that has just connected or received a reply may be about to send a request.
pub const CLIENT_EVICTION_IDLE: Time = Time::ms(20);

/// The time that a client has to send its first request after it has connected, and to send each message from
/// its first byte to its last.
pub const CLIENT_MESSAGE_TIMEOUT: Time = Time::ms(2000);

/// The longest time for which a router may be suspended between reading its clock and writing to a host. The
/// query still has to arrive within the grace period of a draining host, so the router uses a grace period
/// that is shorter by this time.
pub const MAX_SCHEDULING_DELAY: Time = Time::ms(150);

/// The time within which a client must accept a reply; after it, the router closes the connection.
pub const CLIENT_WRITE_TIMEOUT: Time = Time::ms(5000);

/// The number of unsupported or invalid commands, without a served request in between, after which a client's
/// connection is closed.
pub const MAX_CLIENT_FAULTS: u32 = 16;

/// The time after its start at which a router counts as ready even if it has received no endpoint list.
pub const READY_TIMEOUT: Time = Time::ms(5000);

/// The time for which requests are accepted as usual after the signal to stop, because the load balancer in
/// front of the router still sends requests to the router.
pub const STOP_GRACE: Time = Time::ms(500);

/// The longest client timeout that a shutdown waits for.
const MAX_AWAITED_CLIENT_TIMEOUT: Time = Time::ms(3000);

/// The time for which the shutdown continues after the longest client timeout.
const SHUTDOWN_MARGIN: Time = Time::ms(500);

/// Returns the time after the signal to stop at which the remaining requests are failed and the process
/// exits. The platform kills the process 0.7 s after the longest client timeout, which it counts as 3 s at
/// most.
pub fn shutdown_timeout(deployment: &Deployment) -> Time {
    let classes = deployment.settings.classes.iter();
    let longest = classes.map(|class| class.client_timeout).max().unwrap_or_default();
    longest.min(MAX_AWAITED_CLIENT_TIMEOUT).plus(SHUTDOWN_MARGIN)
}
