//! The decision whether a request without a response is rejected or failed. A rejection promises the client
//! that a retry does no harm, so this is the only place that rejects a request after an attempt was sent.

use super::pending_request::PendingRequest;
use super::Policy;
use crate::api::*;

impl Policy {
    /// Rejects a request if the client may safely retry it, otherwise fails it. Does nothing while an attempt
    /// of the request is in flight.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts_in_flight() > 0 {
            return;
        }
        let retry_after = self.settings.send_retry_after.then_some(self.settings.max_retry_after);
        out.push(match self.is_retry_harmless(request) {
            true => Action::Reject(id, retry_after),
            false => Action::Fail(id),
        });
        self.remove_request(id, out);
    }

    /// Returns whether the client may safely retry: the request has not been executed, is idempotent, or has
    /// an idempotency key whose scope is all members and whose deduplication window will not have ended when
    /// the client retries after the longest Retry-After.
    fn is_retry_harmless(&self, request: &PendingRequest) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first) = request.first_possible_execution() else { return true };
        let deduplicated = class.effect == Effect::IdempotentByKey && class.key_scope == KeyScope::All;
        let client_retry_at = self.now.plus(self.settings.max_retry_after);
        let within_window = client_retry_at < first.sent_at.plus(class.deduplication_window);
        class.effect == Effect::Idempotent || (deduplicated && within_window)
    }
}
