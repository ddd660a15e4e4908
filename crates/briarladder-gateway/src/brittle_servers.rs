//! Brittle backend servers, which end if they have to reject many requests.
//!
//! The rules are in [`briarladder_core::fleet::brittle_servers`]. Every
//! response of a server is recorded here. Requests find this daemon's part of
//! a server through [`PlaceFinder`](crate::server_limits::PlaceFinder). Calls
//! for pieces come from one daemon, which keeps to the slots of a server; they
//! only pause after a rejection.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    fleet::{
        brittle_servers::{
            BrittleChange, BrittleServices, Observation, Room, Sharers,
        },
        server::ListedServer,
        server_limits::{LimitNotice, Sharing},
    },
    sorted::SortedMap,
};
use tokio::time::{sleep, timeout};

use crate::{
    blackboard::Blackboard,
    context::Gateway,
    dialect::ResponseHead,
    request::{accept::AcceptedRequest, outgoing::choose_server},
};

/// When a caller should return whose service has no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The longest time that a request waits at this daemon for room.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(250);

/// A request waits for this part of its time at most, so that the server has
/// the rest.
const WAIT_ONE_IN: u32 = 4;

/// What is known of brittle servers, and the requests that wait for them.
#[derive(Debug, Default)]
pub(crate) struct BrittleState {
    services: RefCell<BrittleServices>,
    /// The requests that wait, by service.
    waiting: RefCell<SortedMap<Arc<str>, usize>>,
}

impl Blackboard {
    /// Records what a response to a request that was sent at `sent_at` says
    /// about the servers of its service. `is_own` tells whether the response
    /// certainly belongs to that request.
    pub fn record_brittle(
        &self,
        server: &ListedServer,
        sent_at: Instant,
        info: &ResponseHead,
        is_own: bool,
    ) {
        let max_rejections_per_s = info.max_rejections_per_s;
        let observation =
            Observation { sent_at, max_rejections_per_s, is_own };
        let now = self.now();
        let mut services = self.brittle.services.borrow_mut();
        let service = &server.service;
        match services.observe(now, service, observation) {
            Some(BrittleChange::Began) => {
                log::info!(
                    "brittle: service={service} state=began source=response \
                     max_rejections_per_s={}",
                    max_rejections_per_s.unwrap_or(0)
                );
                self.hasten_gossip();
            }
            Some(BrittleChange::Ended) => {
                log::info!("brittle: service={service} state=ended");
            }
            None => {}
        }
        if info.lacks_room && services.is_brittle(now, service) {
            services.record_rejection(now, server, &self.limit_members());
            log::info!("brittle: server={} state=rejected", server.name);
        }
    }

    /// Returns what to tell another daemon about brittle services.
    pub(crate) fn brittle_notices(&self) -> Vec<LimitNotice> {
        self.brittle.services.borrow().notices(self.now())
    }

    /// Merges what another daemon has told about brittle services.
    pub(crate) fn merge_brittle(&self, notices: &[LimitNotice]) {
        let now = self.now();
        let mut services = self.brittle.services.borrow_mut();
        for service in services.merge(now, notices) {
            log::info!("brittle: service={service} state=began source=peer");
        }
    }

    /// Returns when this daemon may next send to a brittle server; `None` if
    /// the server isn't brittle.
    pub(crate) fn next_room_at(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<Instant> {
        let room = self.room(now, server)?;
        Some(match room {
            Room::PausedUntil(until) => until,
            Room::Slots(slots) if self.in_flight(&server.name) < slots => now,
            Room::Slots(_) => now + ROOM_RETRY_AFTER,
        })
    }

    /// Returns this daemon's part of a brittle server. A daemon that knows no
    /// other one yet has none.
    fn room(&self, now: Instant, server: &ListedServer) -> Option<Room> {
        let mut services = self.brittle.services.borrow_mut();
        if !services.is_brittle(now, &server.service) {
            return None;
        }
        if self.sharing_of(server) == Sharing::Exclusive {
            let until = services.paused_until(now, server)?;
            return Some(Room::PausedUntil(until));
        }
        if !self.knows_members() {
            return Some(Room::Slots(0));
        }
        self.with_sharers(server, |sharers| {
            services.room(now, server, sharers)
        })
    }

    /// Calls a function with the daemons and servers that share the slots of
    /// a server's service.
    fn with_sharers<T>(
        &self,
        server: &ListedServer,
        call: impl FnOnce(&Sharers<'_>) -> T,
    ) -> T {
        let servers = self.servers.borrow();
        call(&Sharers {
            members: &self.limit_members(),
            servers: servers.in_service(&server.service),
            servers_version: servers.change_count(),
        })
    }

    /// Returns the daemons that have a part of a brittle server and may give
    /// a place there; none if it isn't brittle or this daemon pauses there.
    pub(crate) fn room_holders(&self, server: &ListedServer) -> Vec<Arc<str>> {
        let now = self.now();
        let Some(Room::Slots(_)) = self.room(now, server) else {
            return Vec::new();
        };
        self.with_sharers(server, |sharers| sharers.other_holders(server))
    }

    /// Records how long a server of a service has held a request.
    pub(crate) fn record_hold(&self, service: &str, elapsed: Duration) {
        let now = self.now();
        let mut services = self.brittle.services.borrow_mut();
        services.record_hold(now, service, elapsed);
    }

    /// Counts a request of another daemon as in flight at a brittle server,
    /// for as long as the server usually holds one.
    pub(crate) fn lend_room(self: &Rc<Self>, server: &Arc<ListedServer>) {
        let now = self.now();
        let services = self.brittle.services.borrow();
        let Some(hold) = services.mean_hold(now, &server.service) else {
            return;
        };
        let lent = self.track_in_flight(server);
        tokio::task::spawn_local(async move {
            sleep(hold).await;
            drop(lent);
        });
    }

    /// Returns this daemon's part of all brittle servers that may run a
    /// request, without those that it pauses at.
    fn slots_for(
        &self,
        accepted: &AcceptedRequest,
        tried: &[Arc<str>],
    ) -> usize {
        let now = self.now();
        let servers = self.servers.borrow();
        servers
            .ready_in_service(&accepted.service)
            .filter(|server| accepted.may_run_at(server))
            .filter(|server| self.may_send(server, &accepted.allowed_regions))
            .filter(|server| !tried.contains(&server.name))
            .filter_map(|server| match self.room(now, server)? {
                Room::Slots(slots) => Some(slots),
                Room::PausedUntil(_) => None,
            })
            .sum()
    }

    /// Counts a request as waiting until the guard is dropped. `None` if as
    /// many wait as `max`.
    fn begin_wait(
        self: &Rc<Self>,
        service: &Arc<str>,
        max: usize,
    ) -> Option<WaitGuard> {
        let mut waiting = self.brittle.waiting.borrow_mut();
        let count = waiting.get_or_insert_with(Arc::clone(service), || 0);
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(WaitGuard {
            blackboard: Rc::clone(self),
            service: Arc::clone(service),
        })
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitGuard {
    blackboard: Rc<Blackboard>,
    service: Arc<str>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut waiting = self.blackboard.brittle.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(&*self.service) {
            *count -= 1;
        }
    }
}

/// Waits a short time until a brittle server has room for a request, since
/// the server itself may let none wait. As many requests wait as this daemon
/// may have at the servers; the others are refused at once.
pub async fn wait_for_room(
    gateway: &Gateway,
    accepted: &AcceptedRequest,
    zone: &str,
    tried: &[Arc<str>],
) -> Option<Arc<ListedServer>> {
    let blackboard = &gateway.blackboard;
    let slots = blackboard.slots_for(accepted, tried);
    let _waiting = blackboard.begin_wait(&accepted.service, slots)?;
    let time_left = accepted.time_to_head_deadline(blackboard.now());
    let max_wait = MAX_ROOM_WAIT.min(time_left / WAIT_ONE_IN);
    let room = async {
        loop {
            let ended = blackboard.in_flight.request_ended.notified();
            let chosen = choose_server(gateway, accepted, zone, tried);
            if let Some(server) = chosen {
                return server;
            }
            ended.await;
        }
    };
    timeout(max_wait, room).await.ok()
}
