//! Puts faults in place while requests run.

use std::{sync::Arc, time::Duration};

use briarladder_standins::{
    fault::{Fault, Pattern, Rule},
    journal::ExecutionStatus,
    platform::PlatformFault,
};

use super::{MARKER, Runner, STEP_TIME};
use crate::support::{cells::FaultKind, proxy::Link};

/// The last stages of the pipelines.
const LAST_STAGES: [&str; 3] = ["draft", "lookup", "charge"];

/// How long a process is paused: longer than the 1 s from which the daemon
/// notices it, and shorter than the deadline of 2 s.
const PAUSE: Duration = Duration::from_millis(1_200);

impl Runner<'_> {
    /// Puts a fault in place.
    pub(super) async fn inject(
        &mut self,
        fault: FaultKind,
    ) -> anyhow::Result<()> {
        let next = |fault| self.fail_last_stages(fault);
        match fault {
            FaultKind::ServerSlow => next(Fault::Slow(STEP_TIME * 2)),
            FaultKind::ServerErring => next(Fault::Status(500)),
            FaultKind::AnswerLate => next(Fault::DelayResponse(STEP_TIME * 3)),
            FaultKind::AnswerCrossed => next(Fault::WrongResponse),
            FaultKind::AnswerDoubled => next(Fault::DuplicateResponse),
            FaultKind::ServerBursting => self.burst(),
            FaultKind::ServerCrashed => self.crash_servers().await,
            FaultKind::DaemonKilled => {
                let vm = self.issuer.vm.clone();
                self.fleet.kill(&vm);
            }
            FaultKind::DaemonPaused => {
                let vm = &self.issuer.vm;
                let daemons = self.fleet.daemons().iter();
                for process in daemons.filter(|d| d.place().vm == *vm) {
                    process.pause(PAUSE);
                }
            }
            FaultKind::PartitionPeer => self.set_peer_links(Link::Held),
            FaultKind::PartitionPlatform => {
                self.set_platform_links(Link::Held);
            }
            FaultKind::PartitionServers => {
                self.fleet.set_server_links(Link::Held);
            }
            FaultKind::PlatformDown => {
                let platform = self.fleet.platform();
                platform.set_fault(PlatformFault::RefuseConnections).await?;
            }
            FaultKind::PlatformStale => self.fleet.platform().set_stale(true),
            FaultKind::ListLagging => self.fleet.list_wrong_vms()?,
            FaultKind::ReportLost => {
                for backend in self.fleet.cluster().backends() {
                    backend.faults().add_always(Fault::NoReports);
                }
            }
            FaultKind::CallerResends => self.resend_all(),
            FaultKind::CallerLeaves => {
                self.leave.send_replace(true);
            }
            FaultKind::PoisonRequest => self.poison(),
        }
        Ok(())
    }

    fn poison(&self) {
        for backend in self.fleet.cluster().backends() {
            let body = Some(Arc::from(MARKER));
            backend.faults().add(Rule {
                pattern: Pattern { body_contains: body, ..Pattern::default() },
                fault: Fault::Crash,
                times: Some(1),
            });
        }
    }

    /// Crashes the servers that run the requests, one of each pool, or one of
    /// each last stage if none runs them yet. A pool has two servers: without
    /// both, no retry could succeed.
    async fn crash_servers(&mut self) {
        let own = self.own();
        let entries = self.fleet.cluster().journal().entries();
        let running = entries.iter().filter(|entry| {
            entry.status == ExecutionStatus::Running
                && own.contains(&entry.request_id)
        });
        let mut names: Vec<String> =
            running.map(|entry| entry.server.to_string()).collect();
        names.sort_unstable();
        names.dedup_by(|b, a| pool_of(a) == pool_of(b));
        self.crashed = names;
        if self.crashed.is_empty() {
            let first = ["booking-a", "engine-a", "catalogue-a"];
            self.crashed = first.map(str::to_owned).to_vec();
        }
        for name in &self.crashed {
            self.fleet.backend(name).crash().await;
        }
    }

    pub(super) fn set_peer_links(&self, link: Link) {
        for process in self.fleet.daemons() {
            process.set_peer_link(link);
        }
    }

    pub(super) fn set_platform_links(&self, link: Link) {
        for process in self.fleet.daemons() {
            process.set_platform_link(link);
        }
    }

    /// Adds a fault to the next run of each last stage. Repeatable stages
    /// fail in one zone only, so that a retry can succeed.
    fn fail_last_stages(&self, fault: Fault) {
        for stage in LAST_STAGES {
            // OK because the stages are those of the object set.
            let name = Some(stage.parse().unwrap());
            let pattern = Pattern { stage: name, ..Pattern::default() };
            for backend in self.fleet.cluster().backends() {
                let once = stage == "charge";
                if once || backend.name().as_str().ends_with("-a") {
                    let pattern = pattern.clone();
                    let times = Some(1);
                    backend.faults().add(Rule { pattern, fault, times });
                }
            }
        }
    }
}

/// Returns the pool of a server, whose name ends in the letter of its zone.
fn pool_of(server: &str) -> &str {
    server.rsplit_once('-').map_or(server, |(pool, _)| pool)
}
