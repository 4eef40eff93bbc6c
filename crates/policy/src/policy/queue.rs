//! The queue of requests that wait for a member, and the order in which they are placed.

use super::admission::Placement;
use super::pending_request::PendingRequest;
use super::Policy;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Once this many requests of a class could not be placed in one round, the other requests of the class are
/// skipped in this round.
const MAX_UNPLACED_PER_CLASS: u32 = 4;

/// The queue is sorted by integers: each request's value per second of work, multiplied by this factor and
/// rounded down.
const VALUE_SCALE: f64 = 1e6;

/// The ids of all queued requests, by group.
#[derive(Default)]
pub(super) struct RequestQueue {
    entries: BTreeSet<(GroupId, RequestId)>,
}

impl RequestQueue {
    pub(super) fn insert(&mut self, group: GroupId, id: RequestId) {
        self.entries.insert((group, id));
    }

    pub(super) fn remove(&mut self, group: GroupId, id: RequestId) {
        self.entries.remove(&(group, id));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over all queued requests, ordered by group and id.
    fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.iter().map(|(_, id)| *id)
    }

    /// Iterates over the queued requests of a group, ordered by id.
    pub(super) fn in_group(&self, group: GroupId) -> impl Iterator<Item = RequestId> + '_ {
        let all_ids = (group, RequestId(0))..=(group, RequestId(u64::MAX));
        self.entries.range(all_ids).map(|(_, id)| *id)
    }

    /// Returns the groups that have queued requests.
    pub(super) fn groups(&self) -> BTreeSet<GroupId> {
        self.entries.iter().map(|(group, _)| *group).collect()
    }
}

/// A queued request and the keys by which the queue is sorted.
struct QueuedRequest {
    id: RequestId,
    class: usize,
    value: u64,
    client_sent_at: Time,
}

impl Policy {
    /// Tries to place the queued requests of a group: those of the highest value per second of work first,
    /// and among those of equal value the newest first, since they have the most time left.
    pub(super) fn place_queued(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let queued = self.queue.in_group(group).filter_map(|id| self.queued_request(id));
        let mut waiting: Vec<QueuedRequest> = queued.collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by_key(|queued| (Reverse(queued.value), Reverse(queued.client_sent_at), queued.id));
        let mut unplaced = vec![0; self.settings.classes.len()];
        for queued in waiting {
            if unplaced[queued.class] < MAX_UNPLACED_PER_CLASS
                && self.place(queued.id, out) == Placement::Queued
            {
                unplaced[queued.class] += 1;
            }
        }
    }

    fn queued_request(&self, id: RequestId) -> Option<QueuedRequest> {
        let request = self.requests.get(&id)?;
        let class = request.class;
        Some(QueuedRequest {
            id,
            class,
            value: self.queue_value(request),
            client_sent_at: request.client_sent_at,
        })
    }

    /// Returns the request's weight per second of work, multiplied by [`VALUE_SCALE`].
    fn queue_value(&self, request: &PendingRequest) -> u64 {
        (request.weight / self.service_times.get(request.class) * VALUE_SCALE) as u64
    }

    /// Rejects or fails the queued requests that can no longer be served in time.
    pub(super) fn reject_expired(&mut self, out: &mut Vec<Action>) {
        let expired = self
            .queue
            .iter()
            .filter(|id| self.requests.get(id).is_some_and(|request| !self.can_wait(request)));
        let expired: Vec<RequestId> = expired.collect();
        for id in expired {
            self.reject_or_fail(id, out);
        }
    }
}
