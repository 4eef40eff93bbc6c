//! Decoder of frames of events.

use super::cursor::Cursor;
use super::{
    Frame, FrameError, Incoming, InstanceEvent, RecordError, EVENT_LEN, FRAME_HEADER_LEN, LIST_ROW_LEN,
};
use basalthill_config::settings;
use basalthill_policy::api::*;
use std::collections::BTreeMap;

/// The codes of records: the first byte of each.
mod code {
    pub const START: u8 = 1;
    pub const ENDPOINTS: u8 = 2;
    pub const REQUEST: u8 = 3;
    pub const RESPONSE_STARTED: u8 = 4;
    pub const OUTCOME: u8 = 5;
    pub const CLIENT_GONE: u8 = 6;
    pub const TIMER: u8 = 7;
    pub const PROBE_FINISHED: u8 = 8;
    pub const MESSAGE: u8 = 9;
    pub const STOP: u8 = 10;
    /// An endpoint list. It is not an event: later events refer to it by its number.
    pub const LIST: u8 = 11;
}

/// The bit in the flags of a request that marks a retry by the client.
const CLIENT_RETRY_FLAG: u8 = 2;
/// The maximum number of values of a load report in a record.
const MAX_REPORT_VALUES: usize = 4;
/// The column of a load report with the log position, in seconds since the position epoch of the deployment.
const POSITION_COLUMN: &str = "x0";
/// The column of a load report with the role: 1 for the primary, 0 for a replica.
const ROLE_COLUMN: &str = "x1";

/// Decodes frames. It stores the endpoint lists by number, which all instances share, and the load report
/// format of each instance.
#[derive(Default)]
pub struct Decoder {
    lists: BTreeMap<u8, Vec<Endpoint>>,
    report_formats: BTreeMap<u32, ReportFormat>,
}

/// The format of the load reports of an instance.
struct ReportFormat {
    /// The time from which log positions count.
    position_epoch: Time,
    /// The columns: the names of the values.
    columns: Vec<String>,
}

impl Decoder {
    /// Returns the length of a frame in bytes, as given in its first four bytes.
    pub fn frame_len(length_field: [u8; 4]) -> Result<usize, FrameError> {
        let len = u32::from_be_bytes(length_field) as usize;
        match len < FRAME_HEADER_LEN {
            true => Err(FrameError::LengthBelowHeader(len)),
            false => Ok(len),
        }
    }

    /// Decodes the clock and the events of a frame.
    pub fn decode(&mut self, frame: &[u8]) -> Result<Frame, FrameError> {
        let header = Header::decode(frame).map_err(|_| FrameError::TruncatedHeader)?;
        let count = header.record_count;
        let records_len = count.checked_mul(EVENT_LEN).ok_or(FrameError::RecordCountOverflow)?;
        let records_end = FRAME_HEADER_LEN + records_len;
        if header.frame_len != frame.len() || records_end > frame.len() {
            return Err(FrameError::RecordsExceedFrame { frame_len: frame.len(), count });
        }
        let (records, tail) = frame[FRAME_HEADER_LEN..].split_at(records_len);
        let mut events = Vec::with_capacity(count);
        for (index, record) in records.chunks_exact(EVENT_LEN).enumerate() {
            let event = self.decode_record(record, tail);
            events.extend(event.map_err(|source| FrameError::Record { index, source })?);
        }
        Ok(Frame { now: header.now, events })
    }

    /// Decodes the event of a record; returns `None` if the record is an endpoint list, which is stored.
    fn decode_record(&mut self, record: &[u8], tail: &[u8]) -> Result<Option<InstanceEvent>, RecordError> {
        let mut cursor = Cursor::new(record);
        let code = cursor.u8()?;
        if code == code::LIST {
            self.store_list(&mut cursor, tail)?;
            return Ok(None);
        }
        let instance = cursor.u32()?;
        let event = match code {
            code::START => self.decode_start(instance, &mut cursor, tail)?,
            code::STOP => Incoming::Stop,
            code::REQUEST => decode_request(&mut cursor)?,
            code => Incoming::Event(self.decode_event(code, instance, &mut cursor, tail)?),
        };
        Ok(Some(InstanceEvent { instance, event }))
    }

    fn decode_event(
        &self,
        code: u8,
        instance: u32,
        cursor: &mut Cursor,
        tail: &[u8],
    ) -> Result<Event, RecordError> {
        match code {
            code::ENDPOINTS => self.decode_endpoints(cursor),
            code::RESPONSE_STARTED => {
                let request = RequestId(cursor.u64()?);
                Ok(Event::ResponseStarted(request, Attempt(cursor.u16()?)))
            }
            code::OUTCOME => self.decode_outcome(instance, cursor),
            code::CLIENT_GONE => Ok(Event::ClientGone(RequestId(cursor.u64()?))),
            code::TIMER => Ok(Event::Timer(cursor.u64()?)),
            code::PROBE_FINISHED => {
                let member = MemberId(cursor.u32()?);
                let status = decode_status(cursor.u16()?)?;
                let elapsed = Time(cursor.u64()?);
                let report = self.decode_report(instance, cursor)?;
                Ok(Event::ProbeFinished { member, status, elapsed, report })
            }
            code::MESSAGE => {
                let from = RouterId(cursor.u32()? as u16);
                Ok(Event::Message(from, tail_range(tail, cursor)?.to_vec()))
            }
            other => Err(RecordError::UnknownEvent(other)),
        }
    }

    fn store_list(&mut self, cursor: &mut Cursor, tail: &[u8]) -> Result<(), RecordError> {
        let number = cursor.u8()?;
        let start = cursor.size()?;
        let count = cursor.size()?;
        let rows = tail.get(start..).unwrap_or(&[]);
        if count.checked_mul(LIST_ROW_LEN).is_none_or(|len| len > rows.len()) {
            return Err(RecordError::ListPastTail { start, count });
        }
        let rows = rows.chunks_exact(LIST_ROW_LEN).take(count);
        let endpoints = rows.map(decode_endpoint).collect::<Result<_, _>>()?;
        self.lists.insert(number, endpoints);
        Ok(())
    }

    fn decode_start(
        &mut self,
        instance: u32,
        cursor: &mut Cursor,
        tail: &[u8],
    ) -> Result<Incoming, RecordError> {
        let seed = cursor.u64()?;
        let deployment = settings::read(tail_range(tail, cursor)?)?;
        let position_epoch = deployment.position_epoch;
        let columns = deployment.report_columns.clone();
        self.report_formats.insert(instance, ReportFormat { position_epoch, columns });
        Ok(Incoming::Start { seed, deployment: Box::new(deployment) })
    }

    fn decode_endpoints(&self, cursor: &mut Cursor) -> Result<Event, RecordError> {
        let update = match cursor.u8()? {
            0 => EndpointUpdate::Delta,
            1 => EndpointUpdate::Full,
            2 => EndpointUpdate::Cached,
            3 => EndpointUpdate::Failed,
            other => return Err(RecordError::UnknownListKind(other)),
        };
        let _generation = cursor.u32()?;
        let number = cursor.u8()?;
        let endpoints = match update {
            EndpointUpdate::Failed => Vec::new(),
            _ => self.lists.get(&number).ok_or(RecordError::UnknownList(number))?.clone(),
        };
        Ok(Event::Endpoints(update, endpoints))
    }

    fn decode_outcome(&self, instance: u32, cursor: &mut Cursor) -> Result<Event, RecordError> {
        let request = RequestId(cursor.u64()?);
        let attempt = Attempt(cursor.u16()?);
        let member = MemberId(cursor.u32()?);
        let status = decode_status(cursor.u16()?)?;
        let elapsed = Time(cursor.u64()?);
        let request_completed = cursor.u8()? != 0;
        let replication = self.decode_replication(instance, cursor.u32()?);
        let report = self.decode_report(instance, cursor)?;
        Ok(Event::Outcome(Outcome {
            request,
            attempt,
            member,
            status,
            elapsed,
            request_completed,
            replication,
            report,
        }))
    }

    /// Decodes the replication state of a response: the role in the two lowest bits, and above them the log
    /// position in milliseconds since the position epoch.
    fn decode_replication(&self, instance: u32, bits: u32) -> ReplicationState {
        let format = self.report_formats.get(&instance);
        let position_epoch = format.map_or(Time(0), |format| format.position_epoch);
        let position_ms = u64::from(bits / 4);
        let position = (bits >= 4).then(|| position_epoch.plus(Time::ms(position_ms)));
        let role = match bits % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        ReplicationState { position, role }
    }

    fn decode_report(&self, instance: u32, cursor: &mut Cursor) -> Result<ReplicationState, RecordError> {
        let count = usize::from(cursor.u8()?).min(MAX_REPORT_VALUES);
        let mut replication = ReplicationState::default();
        let Some(format) = self.report_formats.get(&instance) else { return Ok(replication) };
        for column in format.columns.iter().take(count) {
            let value = cursor.f32()?;
            match column.as_str() {
                POSITION_COLUMN if value > 0.0 => {
                    replication.position = Some(format.position_epoch.plus(Time((value * 1e9) as u64)));
                }
                ROLE_COLUMN => {
                    replication.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica });
                }
                _ => {}
            }
        }
        Ok(replication)
    }
}

/// The header of a frame.
struct Header {
    frame_len: usize,
    now: Time,
    record_count: usize,
}

impl Header {
    fn decode(frame: &[u8]) -> Result<Header, RecordError> {
        let mut cursor = Cursor::new(frame);
        let frame_len = cursor.size()?;
        let now = Time(cursor.u64()?);
        let record_count = cursor.size()?;
        Ok(Header { frame_len, now, record_count })
    }
}

fn decode_request(cursor: &mut Cursor) -> Result<Incoming, RecordError> {
    let id = RequestId(cursor.u64()?);
    let class = ClassId(cursor.u16()?);
    let tenant = TenantId(cursor.u16()?);
    let session_key = cursor.u64()?;
    let deadline = Time(cursor.u64()?);
    let _effort = cursor.u64()?;
    let group = GroupId(cursor.f32()? as u32);
    let token_age_ms = cursor.f32()?;
    let client_retry = cursor.u8()? & CLIENT_RETRY_FLAG != 0;
    let request = Request { id, class, tenant, deadline, group, floor: Time(0), lead: Time(0), client_retry };
    // Zero means that the request has no session, or no token age.
    let session = (session_key != 0).then_some(SessionKey(session_key));
    let token_age = (token_age_ms > 0.0).then_some(Time((token_age_ms * 1e6) as u64));
    Ok(Incoming::Request { request, session, token_age })
}

fn decode_endpoint(row: &[u8]) -> Result<Endpoint, RecordError> {
    let mut cursor = Cursor::new(row);
    let primary = cursor.f32()? >= 0.5;
    let member = MemberId(cursor.u32()?);
    let zone = ZoneId(cursor.u16()?);
    let _kind = cursor.u8()?;
    let group = GroupId(u32::from(cursor.u16()?));
    let state = match cursor.u8()? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => return Err(RecordError::UnknownMemberState(other)),
    };
    let weight = cursor.f32()?;
    let started_ns = cursor.u64()?;
    let started = (started_ns != 0).then_some(Time(started_ns));
    // The router counts as notified of a change when the simulator's list arrives. A time in the future is
    // treated as the time of arrival.
    let notified_at = Time(u64::MAX);
    Ok(Endpoint { member, zone, group, state, weight, primary, started, notified_at })
}

fn decode_status(code: u16) -> Result<Status, RecordError> {
    match code {
        100 => Ok(Status::Ok),
        101 => Ok(Status::Misdirected),
        301 => Ok(Status::Error),
        302 => Ok(Status::Overloaded),
        303 => Ok(Status::Timeout),
        304 => Ok(Status::ConnectFailed),
        305 => Ok(Status::Reset),
        306 => Ok(Status::Cancelled),
        307 => Ok(Status::NotSent),
        other => Err(RecordError::UnknownStatus(other)),
    }
}

/// Returns the bytes of the tail to which the next two fields of a record refer: an offset and a length.
fn tail_range<'t>(tail: &'t [u8], cursor: &mut Cursor) -> Result<&'t [u8], RecordError> {
    let start = cursor.size()?;
    let len = cursor.size()?;
    tail.get(start..start.saturating_add(len)).ok_or(RecordError::RangePastTail { start, len })
}
