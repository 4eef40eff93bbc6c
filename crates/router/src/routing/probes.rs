//! Health checks of members. The policy's actions start them; results and timeouts end them. Each health
//! check has exactly one outcome, which is passed to the policy. This module owns the table of health checks
//! in flight.

use super::exchanges::InFlightExchange;
use super::input::{ExchangeId, ExchangeResult};
use super::outcomes::{probe_status, replication_from_load_report};
use super::timers::Timer;
use super::{Effect, ExchangeStart, Query, Router};
use crate::protocol::host::{QueryOutcome, Row};
use basalthill_config::settings::LoadReportSource;
use basalthill_fleet::Budget;
use basalthill_policy::api::{Event, MemberId, ReplicationState, Status, Time};
use std::collections::BTreeMap;

/// The health check for hosts that report their load.
const REPORT_QUERY: &str = "SHOW vitals";
/// The health check for hosts that do not report their load.
const PLAIN_QUERY: &str = "SELECT 1";

/// The health checks in flight.
#[derive(Default)]
pub struct ProbeTable {
    in_flight: BTreeMap<u64, InFlightExchange>,
    next_number: u64,
}

impl ProbeTable {
    /// Returns the number for the next health check.
    fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    fn insert(&mut self, number: u64, exchange: InFlightExchange) {
        self.in_flight.insert(number, exchange);
    }

    fn take(&mut self, number: u64) -> Option<InFlightExchange> {
        self.in_flight.remove(&number)
    }

    /// Returns the number of health checks in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }
}

impl Router {
    /// Starts a health check as the policy decided. It times out after the connect timeout of the settings,
    /// and fails immediately if no address of the member is known.
    pub(super) fn start_probe(&mut self, now: Time, member: MemberId, out: &mut Vec<Effect>) {
        let Some(addr) = self.endpoints.addr(member) else {
            return self.events.push_back(Event::ProbeFinished {
                member,
                status: Status::ConnectFailed,
                elapsed: Time(0),
                report: ReplicationState::default(),
            });
        };
        self.spend_budget(now, Budget::Probes);
        let number = self.probes.next_number();
        let timer = self.timers.add(now.plus(self.deployment.connect_timeout), Timer::Probe(number));
        self.probes.insert(number, InFlightExchange { member, sent_at: now, timer });
        let text = match self.deployment.load_reports {
            LoadReportSource::None => PLAIN_QUERY,
            _ => REPORT_QUERY,
        };
        out.push(Effect::StartExchange(ExchangeStart {
            id: ExchangeId::Probe(number),
            member,
            requester: None,
            addr,
            query: Query::HealthCheck(text),
        }));
    }

    /// Handles the result of a health check, if the health check is in flight.
    pub(super) fn probe_finished(&mut self, now: Time, number: u64, result: ExchangeResult) {
        let Some(probe) = self.take_probe(number) else { return };
        let status = probe_status(&result);
        let report = match result {
            ExchangeResult::Response(QueryOutcome::Row(row), _) => self.load_report(&row),
            _ => ReplicationState::default(),
        };
        self.record_probe_outcome(now, probe, status, report);
    }

    /// Aborts a health check after its timeout, if it is in flight.
    pub(super) fn probe_timed_out(&mut self, now: Time, number: u64, out: &mut Vec<Effect>) {
        let Some(probe) = self.take_probe(number) else { return };
        out.push(Effect::AbortExchange(ExchangeId::Probe(number)));
        self.record_probe_outcome(now, probe, Status::Timeout, ReplicationState::default());
    }

    /// Returns the replication state in the load report that a health check returned.
    fn load_report(&self, row: &Row) -> ReplicationState {
        let value = row.value.clone().map(|part| &row.bytes[part]).unwrap_or_default();
        let text = std::str::from_utf8(value).unwrap_or_default();
        replication_from_load_report(&self.deployment.report_columns, text)
    }

    fn take_probe(&mut self, number: u64) -> Option<InFlightExchange> {
        let probe = self.probes.take(number)?;
        self.timers.cancel(probe.timer);
        Some(probe)
    }

    /// Records the outcome of a health check that has been removed from the table, and queues it for the
    /// policy.
    fn record_probe_outcome(
        &mut self,
        now: Time,
        probe: InFlightExchange,
        status: Status,
        report: ReplicationState,
    ) {
        self.counters.probes += 1;
        self.counters.probes_failed += u32::from(status != Status::Ok);
        self.observe_position(now, probe.sent_at, report.position);
        self.events.push_back(Event::ProbeFinished {
            member: probe.member,
            status,
            elapsed: now.since(probe.sent_at),
            report: self.system_clock.replication_to_router_time(report),
        });
    }
}
