//! Hosts one decision module per router on the bench's wire; each is kept apart from the others.

use basalthill_config::settings::Deployment;
use basalthill_policy::api::*;
use basalthill_policy::Policy;
use basalthill_session::token::SessionIdentity;
use basalthill_session::TrackedRequest;
use basalthill_session::{PlatformFloors, SessionRequest, Sessions};
use basalthill_sim::wire::{reply, Decoder, Incoming};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("basalthill-sim: {message}");
            ExitCode::FAILURE
        }
    }
}

/// One router: its decisions, and what it knows of its sessions.
struct Router {
    policy: Policy,
    sessions: Sessions,
    site: Deployment,
    /// Writes of sessions that are out, where the router remembers them.
    writes: BTreeMap<RequestId, (GroupId, TrackedRequest)>,
}

/// Most memory that a router's book of sessions may come to take.
const BOOK: usize = 1 << 20;

impl Router {
    fn new(now: Time, seed: u64, site: Deployment) -> Router {
        let policy = Policy::new(site.settings.clone(), seed);
        // No plan of our own: the platform's meaning holds, and without memory the book is never looked at.
        let bytes = if site.tokens == PlatformFloors::Remembered { BOOK } else { 0 };
        let sessions = Sessions::new(now, site.tokens, None, bytes, seed);
        Router { policy, sessions, site, writes: BTreeMap::new() }
    }

    /// A request with the floor that its session gives it.
    fn request(
        &mut self,
        now: Time,
        request: Request,
        key: Option<SessionKey>,
        token: Option<Time>,
    ) -> Event {
        let class = self.site.settings.classes.get(usize::from(request.class.0));
        let (Some(consistency), Some(key)) = (class.map(|c| c.consistency), key) else {
            return Event::Request(request);
        };
        let (owner, group) = (SessionIdentity { name: &[], key }, request.group);
        let asked = SessionRequest {
            identity: owner,
            group,
            after: token.map(|t| now.minus(t)),
            tokens: &[],
            accepted_at: now,
        };
        let floor = match consistency {
            Consistency::Write if self.site.tokens == PlatformFloors::Remembered => {
                let tracked = self.sessions.begin_request(now, &asked, true);
                self.writes.insert(request.id, (group, tracked));
                Time(0)
            }
            Consistency::Session => {
                let tracked = self.sessions.begin_request(now, &asked, false);
                self.sessions.read_floor(now, &asked, &tracked).position
            }
            _ => Time(0),
        };
        Event::Request(Request { floor, ..request })
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match &event {
            Event::Outcome(o) => {
                if let Some((group, tracked)) =
                    self.writes.get_mut(&o.request).filter(|_| o.status == Status::Ok)
                {
                    let owner = SessionIdentity { name: &[], key: tracked.key };
                    if o.replication.position.is_some() {
                        self.sessions.request_served(now, owner, *group, tracked, o.replication.position);
                    }
                }
                if o.ended {
                    self.writes.remove(&o.request);
                }
            }
            Event::ClientGone(id) => drop(self.writes.remove(id)),
            _ => {}
        }
        let before = out.len();
        self.policy.handle(now, event, out);
        for action in &out[before..] {
            if let Action::Reject(id, _) | Action::Fail(id) = action {
                self.writes.remove(id);
            }
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut decoder = Decoder::default();
    let mut routers: BTreeMap<u32, Router> = BTreeMap::new();
    for number in 0u64.. {
        let Some(frame) = next_frame(&mut input).map_err(|e| format!("frame {number}: {e}"))? else { break };
        let (now, events) = decoder.frame(&frame).map_err(|e| format!("frame {number}: {e}"))?;
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        for (inst, incoming) in events {
            let missing = || format!("frame {number}: router {inst} was never started");
            match incoming {
                Incoming::Start(seed, site) => {
                    routers.insert(inst, Router::new(now, seed, *site));
                }
                Incoming::Stop => {
                    routers.remove(&inst);
                    actions.retain(|(i, _)| *i != inst);
                }
                Incoming::Request(request, key, token) => {
                    let router = routers.get_mut(&inst).ok_or_else(missing)?;
                    let event = router.request(now, request, key, token);
                    router.handle(now, event, &mut out);
                }
                Incoming::Event(event) => {
                    routers.get_mut(&inst).ok_or_else(missing)?.handle(now, event, &mut out)
                }
            }
            actions.extend(out.drain(..).map(|a| (inst, a)));
        }
        output.write_all(&reply(&actions)).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// The next whole frame; none at the end of input.
fn next_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut head = [0; 4];
    let mut have = 0;
    while have < head.len() {
        match input.read(&mut head[have..]).map_err(|e| e.to_string())? {
            0 if have == 0 => return Ok(None),
            0 => return Err("input ends inside a frame's length".into()),
            n => have += n,
        }
    }
    let len = Decoder::frame_len(head)?;
    let mut frame = head.to_vec();
    let got = input.take(len as u64 - 4).read_to_end(&mut frame).map_err(|e| e.to_string())?;
    if got + 4 != len {
        return Err(format!("input ends {} bytes short of a frame of {len}", len - got - 4));
    }
    Ok(Some(frame))
}
