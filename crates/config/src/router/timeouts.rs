//! Times, sizes and counts that are the same at each router.

use crate::settings::Deployment;
use basalthill_policy::api::Time;

/// Longest statement in bytes: a value of 64 KiB in hexadecimal digits, and the rest of its text.
pub const MAX_STATEMENT_LEN: usize = 160 * 1024;

/// A client may have sent this much, in bytes, before it needs a permit for a large statement.
pub const LARGE_STATEMENT_LEN: usize = 16 * 1024;

/// So many reads of one connection are executed side by side, where a client pipelines commands.
pub const MAX_CONCURRENT_READS: usize = 4;

/// The fraction of the settings' idle time after which the router closes an idle connection itself, so that
/// no request meets the member's closing.
pub const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// A member that has begun an answer writes the rest of it without pausing for this long, or it never will.
pub const RESPONSE_STALL_TIMEOUT: Time = Time::ms(100);

/// After an answer, a connection to a member is not used again for this long: what the member sends right
/// behind an answer shows itself by then, and is never taken for the next one.
pub const HOST_REUSE_DELAY: Time = Time::ms(2);

/// Where descriptors are short, a client with no open request may be evicted after this time: one that has
/// just connected, or has just had its answer, may be about to send a request.
pub const CLIENT_EVICTION_IDLE: Time = Time::ms(20);

/// A client has this long from connecting to its first request, and for each message from its first byte to
/// its last.
pub const CLIENT_MESSAGE_TIMEOUT: Time = Time::ms(2000);

/// A router may be suspended for this long between reading its clock and writing. A drain's grace has to
/// cover that: the router's own grace is shorter by as much.
pub const MAX_SCHEDULING_DELAY: Time = Time::ms(150);

/// A client takes an answer within this time, or its connection is closed.
pub const CLIENT_WRITE_TIMEOUT: Time = Time::ms(5000);

/// So many unsupported commands in a row end a client's connection.
pub const MAX_CLIENT_FAULTS: u32 = 16;

/// A router that has no endpoint list counts as ready after this time all the same.
pub const READY_TIMEOUT: Time = Time::ms(5000);

/// After the signal to stop, requests are accepted as usual for this long: the front goes on sending
/// meanwhile.
pub const STOP_GRACE: Time = Time::ms(500);

/// Deadlines count as no longer than this at a shutdown.
const MAX_SHUTDOWN_DEADLINE: Time = Time::ms(3000);

/// The shutdown goes on for so long after the longest deadline.
const SHUTDOWN_MARGIN: Time = Time::ms(500);

/// What is unanswered this long after the signal to stop is failed; the program then ends. The platform kills
/// it after the longest deadline (three seconds at most) and 0.7 s.
pub fn shutdown_timeout(deployment: &Deployment) -> Time {
    let classes = deployment.settings.classes.iter();
    let longest = classes.map(|class| class.client_timeout).max().unwrap_or_default();
    longest.min(MAX_SHUTDOWN_DEADLINE).plus(SHUTDOWN_MARGIN)
}
