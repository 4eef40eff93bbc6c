//! Encoding and decoding of the bench's frames, and of the settings text. No decision lives here.

use basalthill_config::settings::Deployment;
use basalthill_policy::api::*;
use std::collections::BTreeMap;

const EVENT: usize = 56;
const ACTION: usize = 32;
const HEADER: usize = 16;

/// What is wrong with a frame or a settings text.
pub type Fault = String;

/// One event as the wire has it, for one instance.
#[derive(Debug)]
pub enum Incoming {
    /// An instance starts with a seed and its deployment.
    Start(u64, Box<Deployment>),
    /// An instance was killed.
    Stop,
    /// A request, its session, and how long ago that last wrote if the request says so. The floor is not
    /// known yet.
    Request(Request, Option<SessionKey>, Option<Time>),
    /// Anything else that the decisions take.
    Event(Event),
}

/// Reads fields off a record or a tail.
struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Cursor<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], Fault> {
        let part = self.bytes.get(self.at..self.at + N).ok_or("a record ends early")?;
        self.at += N;
        part.try_into().map_err(|_| "a record ends early".to_string())
    }
    fn u8(&mut self) -> Result<u8, Fault> {
        Ok(self.take::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, Fault> {
        Ok(u16::from_be_bytes(self.take()?))
    }
    fn u32(&mut self) -> Result<u32, Fault> {
        Ok(u32::from_be_bytes(self.take()?))
    }
    fn u64(&mut self) -> Result<u64, Fault> {
        Ok(u64::from_be_bytes(self.take()?))
    }
    fn f32(&mut self) -> Result<f64, Fault> {
        Ok(f64::from(f32::from_be_bytes(self.take()?)))
    }
}

/// Decodes frames; holds the numbered lists, which belong to the whole process, and what each instance's
/// reports mean.
#[derive(Default)]
pub struct Decoder {
    lists: BTreeMap<u8, Vec<Endpoint>>,
    zeros: BTreeMap<u32, (Time, Vec<String>)>,
}

impl Decoder {
    /// The size of the whole frame, from its first four bytes.
    pub fn frame_len(head: [u8; 4]) -> Result<usize, Fault> {
        let len = u32::from_be_bytes(head) as usize;
        if len < HEADER {
            return Err(format!("frame length {len} is below its header's {HEADER}"));
        }
        Ok(len)
    }

    /// The clock and the events of a frame, each with its instance, in order.
    pub fn frame(&mut self, frame: &[u8]) -> Result<(Time, Vec<(u32, Incoming)>), Fault> {
        let mut head = Cursor { bytes: frame, at: 0 };
        let (len, now, count) = (head.u32()? as usize, Time(head.u64()?), head.u32()? as usize);
        let end = HEADER + count.checked_mul(EVENT).ok_or("record count overflows")?;
        if len != frame.len() || end > len {
            return Err(format!("frame of {} bytes can't hold {count} records", frame.len()));
        }
        let (records, tail) = frame[HEADER..].split_at(end - HEADER);
        let mut events = Vec::with_capacity(count);
        for (i, record) in records.chunks_exact(EVENT).enumerate() {
            if let Some(event) = self.record(record, tail).map_err(|e| format!("record {i}: {e}"))? {
                events.push(event);
            }
        }
        Ok((now, events))
    }

    fn record(&mut self, bytes: &[u8], tail: &[u8]) -> Result<Option<(u32, Incoming)>, Fault> {
        let mut c = Cursor { bytes, at: 0 };
        let code = c.u8()?;
        if code == 11 {
            let number = c.u8()?;
            let (start, count) = (c.u32()? as usize, c.u32()? as usize);
            let rows = tail.get(start..).unwrap_or(&[]);
            if count.checked_mul(26).is_none_or(|n| n > rows.len()) {
                return Err(format!("list of {count} entries at {start} runs past the tail"));
            }
            let rows = rows.chunks_exact(26).take(count).map(entry).collect::<Result<_, _>>()?;
            self.lists.insert(number, rows);
            return Ok(None);
        }
        let inst = c.u32()?;
        let event = match code {
            1 => {
                let seed = c.u64()?;
                let text = slice(tail, c.u32()?, c.u32()?)?;
                let site = basalthill_config::settings::read(text).map_err(|e| e.to_string())?;
                self.zeros.insert(inst, (site.position_epoch, site.report_columns.clone()));
                return Ok(Some((inst, Incoming::Start(seed, Box::new(site)))));
            }
            10 => return Ok(Some((inst, Incoming::Stop))),
            2 => {
                let form = match c.u8()? {
                    0 => EndpointUpdate::Delta,
                    1 => EndpointUpdate::Full,
                    2 => EndpointUpdate::Cached,
                    3 => EndpointUpdate::Failed,
                    other => return Err(format!("list form {other} is unknown")),
                };
                let (_generation, number) = (c.u32()?, c.u8()?);
                let rows = match form {
                    EndpointUpdate::Failed => Vec::new(),
                    _ => self.lists.get(&number).ok_or(format!("list {number} was never sent"))?.clone(),
                };
                Event::Endpoints(form, rows)
            }
            3 => {
                let (id, class, tenant) = (RequestId(c.u64()?), ClassId(c.u16()?), TenantId(c.u16()?));
                let (key, deadline, _effort) = (c.u64()?, Time(c.u64()?), c.u64()?);
                let (group, token, marks) = (GroupId(c.f32()? as u32), c.f32()?, c.u8()?);
                let (floor, lead, client_retry) = (Time(0), Time(0), marks & 2 != 0);
                let request = Request { id, class, tenant, deadline, group, floor, lead, client_retry };
                let session = (key != 0).then_some(SessionKey(key));
                let token = (token > 0.0).then_some(Time((token * 1e6) as u64));
                return Ok(Some((inst, Incoming::Request(request, session, token))));
            }
            4 => Event::ResponseStarted(RequestId(c.u64()?), Attempt(c.u16()?)),
            5 => {
                let (request, attempt, member) = (RequestId(c.u64()?), Attempt(c.u16()?), MemberId(c.u32()?));
                let (status, took, ended, note) = (status(c.u16()?)?, Time(c.u64()?), c.u8()? != 0, c.u32()?);
                let replication = self.note(inst, note);
                let report = self.report(inst, &mut c)?;
                Event::Outcome(Outcome { request, attempt, member, status, took, ended, replication, report })
            }
            6 => Event::ClientGone(RequestId(c.u64()?)),
            7 => Event::Timer(c.u64()?),
            8 => {
                let (member, status, took) = (MemberId(c.u32()?), status(c.u16()?)?, Time(c.u64()?));
                Event::ProbeFinished { member, status, took, report: self.report(inst, &mut c)? }
            }
            9 => {
                let from = RouterId(c.u32()? as u16);
                Event::Message(from, slice(tail, c.u32()?, c.u32()?)?.to_vec())
            }
            other => return Err(format!("event code {other} is unknown")),
        };
        Ok(Some((inst, Incoming::Event(event))))
    }

    fn note(&self, inst: u32, note: u32) -> ReplicationState {
        let zero = self.zeros.get(&inst).map_or(Time(0), |z| z.0);
        let position = (note >= 4).then(|| zero.plus(Time::ms(u64::from(note / 4))));
        let role = match note % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        };
        ReplicationState { position, role }
    }

    fn report(&self, inst: u32, c: &mut Cursor) -> Result<ReplicationState, Fault> {
        let n = usize::from(c.u8()?);
        let mut replication = ReplicationState::default();
        let Some((zero, columns)) = self.zeros.get(&inst) else { return Ok(replication) };
        for column in columns.iter().take(n.min(4)) {
            let value = c.f32()?;
            match column.as_str() {
                "x0" if value > 0.0 => replication.position = Some(zero.plus(Time((value * 1e9) as u64))),
                "x1" => replication.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
                _ => {}
            }
        }
        Ok(replication)
    }
}

fn slice(tail: &[u8], start: u32, len: u32) -> Result<&[u8], Fault> {
    let (start, len) = (start as usize, len as usize);
    tail.get(start..start.saturating_add(len)).ok_or(format!("{len} bytes at {start} run past the tail"))
}

fn entry(bytes: &[u8]) -> Result<Endpoint, Fault> {
    let mut c = Cursor { bytes, at: 0 };
    let primary = c.f32()? >= 0.5;
    let (member, zone, _kind, group) = (MemberId(c.u32()?), ZoneId(c.u16()?), c.u8()?, c.u16()?);
    let state = match c.u8()? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        3 => EndpointState::Removed,
        other => return Err(format!("member condition {other} is unknown")),
    };
    let (weight, started) = (c.f32()?, c.u64()?);
    let group = GroupId(u32::from(group));
    let started = (started != 0).then_some(Time(started));
    // The bench hands a line over as it counts.
    let notified_at = Time(u64::MAX);
    Ok(Endpoint { member, zone, group, state, weight, primary, started, notified_at })
}

fn status(code: u16) -> Result<Status, Fault> {
    Ok(match code {
        100 => Status::Ok,
        101 => Status::Misdirected,
        301 => Status::Error,
        302 => Status::Overloaded,
        303 => Status::Timeout,
        304 => Status::ConnectFailed,
        305 => Status::Reset,
        306 => Status::Cancelled,
        307 => Status::NotSent,
        other => return Err(format!("disposition {other} is unknown")),
    })
}

/// The reply for a round of actions, each with its instance.
pub fn reply(actions: &[(u32, Action)]) -> Vec<u8> {
    let mut out = Vec::with_capacity(8 + actions.len() * ACTION);
    let mut tail: Vec<u8> = Vec::new();
    out.extend((actions.len() as u32).to_be_bytes());
    out.extend([0; 4]);
    for (inst, action) in actions {
        let start = out.len();
        let mut put = |code: u8, parts: &[&[u8]]| {
            out.push(code);
            out.extend(inst.to_be_bytes());
            parts.iter().for_each(|p| out.extend(*p));
        };
        match action {
            Action::Send(id, member, limit) => {
                let limit = limit.map_or(0, |t| t.0.max(1));
                put(1, &[&id.0.to_be_bytes(), &member.0.to_be_bytes(), &limit.to_be_bytes()]);
            }
            Action::Reject(id, after) => {
                put(2, &[&id.0.to_be_bytes(), &after.map_or(0, |t| t.0).to_be_bytes()]);
            }
            Action::Fail(id) => put(3, &[&id.0.to_be_bytes()]),
            Action::Cancel(id, attempt) => put(4, &[&id.0.to_be_bytes(), &attempt.0.to_be_bytes()]),
            Action::Timer(after, token) => put(5, &[&after.0.to_be_bytes(), &token.to_be_bytes()]),
            Action::Probe(member) => put(6, &[&member.0.to_be_bytes()]),
            Action::CloseIdle(member) => put(7, &[&member.0.to_be_bytes()]),
            Action::Log(text) => {
                let (at, len) = (tail.len() as u32, text.len() as u32);
                put(9, &[&at.to_be_bytes(), &len.to_be_bytes()]);
                tail.extend(text.as_bytes());
            }
            Action::WatchEndpoints => put(11, &[&[1]]),
            Action::PollEndpoints => put(12, &[]),
        }
        out.resize(start + ACTION, 0);
    }
    out.extend(tail);
    let len = out.len() as u32;
    out[4..8].copy_from_slice(&len.to_be_bytes());
    out
}
