//! The decision whether a request without a response is rejected or failed. A rejection promises the client
//! that a retry does no harm at any time, so this is the only place that rejects a request after an attempt
//! was sent.

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

    /// Returns whether the client may safely retry, however late: the request has not been executed, or is
    /// idempotent. An idempotency key is not enough. A rejection doesn't tell when the deduplication window
    /// ends, and a client that takes the rejection as a proof that nothing has run may retry after that end.
    fn is_retry_harmless(&self, request: &PendingRequest) -> bool {
        let effect = self.settings.classes[request.class].effect;
        effect == Effect::Idempotent || request.first_possible_execution().is_none()
    }
}
