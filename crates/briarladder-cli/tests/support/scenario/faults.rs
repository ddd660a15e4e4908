//! Injects faults while requests run.

use std::{sync::Arc, time::Duration};

use briarladder_standins::{
    fault::{Fault, Pattern, Rule},
    journal::ExecutionStatus,
    platform::PlatformFault,
};

use super::{MARKER, Runner, STAGE_DELAY};
use crate::support::{cells::FaultKind, proxy::LinkState};

/// The last stages of the pipelines.
const LAST_STAGES: [&str; 3] = ["draft", "lookup", "charge"];

/// The duration of a process pause: longer than the 1 s from which the daemon
/// detects a pause, and shorter than the pipelines' deadline of 2 s.
const PAUSE_DURATION: Duration = Duration::from_millis(1_200);

impl Runner<'_> {
    /// Injects a fault.
    pub(super) async fn inject(
        &mut self,
        fault: FaultKind,
    ) -> anyhow::Result<()> {
        let fail_next = |fault| self.fail_last_stages(fault);
        match fault {
            FaultKind::ServerSlow => fail_next(Fault::Slow(STAGE_DELAY * 2)),
            FaultKind::ServerErring => fail_next(Fault::Status(500)),
            FaultKind::AnswerLate => {
                fail_next(Fault::DelayResponse(STAGE_DELAY * 3));
            }
            FaultKind::AnswerCrossed => fail_next(Fault::WrongResponse),
            FaultKind::AnswerDoubled => fail_next(Fault::DuplicateResponse),
            FaultKind::ServerBursting => self.send_burst(),
            FaultKind::ServerCrashed => self.crash_servers().await,
            FaultKind::DaemonKilled => {
                let vm = self.issuer.vm.clone();
                self.fleet.kill(&vm);
            }
            FaultKind::DaemonPaused => {
                let vm = &self.issuer.vm;
                let daemons = self.fleet.daemons().iter();
                for process in daemons.filter(|d| d.endpoint().vm == *vm) {
                    process.pause(PAUSE_DURATION);
                }
            }
            FaultKind::PartitionPeer => {
                self.set_peer_links(LinkState::Blocked);
            }
            FaultKind::PartitionPlatform => {
                self.set_platform_links(LinkState::Blocked);
            }
            FaultKind::PartitionServers => {
                self.fleet.set_server_links(LinkState::Blocked);
            }
            FaultKind::PlatformDown => {
                let platform = self.fleet.platform();
                platform.set_fault(PlatformFault::RefuseConnections).await?;
            }
            FaultKind::PlatformStale => self.fleet.platform().set_stale(true),
            FaultKind::ListLagging => self.fleet.publish_stale_vm_list()?,
            FaultKind::ReportLost => {
                for backend in self.fleet.cluster().backends() {
                    backend.faults().add_always(Fault::NoReports);
                }
            }
            FaultKind::CallerResends => self.resend_all(),
            FaultKind::CallerLeaves => {
                self.cancel.send_replace(true);
            }
            FaultKind::PoisonRequest => self.add_poison_fault(),
        }
        Ok(())
    }

    fn add_poison_fault(&self) {
        for backend in self.fleet.cluster().backends() {
            let body = Some(Arc::from(MARKER));
            backend.faults().add(Rule {
                pattern: Pattern { body_contains: body, ..Pattern::default() },
                fault: Fault::Crash,
                times: Some(1),
            });
        }
    }

    /// Crashes one server in each pool that runs the requests, or one server
    /// for each last stage if none is running yet. A pool has two servers, and
    /// a retry needs the other one.
    async fn crash_servers(&mut self) {
        let request_ids = self.request_ids();
        let entries = self.fleet.cluster().journal().entries();
        let running = entries.iter().filter(|entry| {
            entry.status == ExecutionStatus::Running
                && request_ids.contains(&entry.request_id)
        });
        let mut names: Vec<String> =
            running.map(|entry| entry.server.to_string()).collect();
        names.sort_unstable();
        names.dedup_by(|b, a| pool_of(a) == pool_of(b));
        self.crashed_servers = names;
        if self.crashed_servers.is_empty() {
            let first = ["booking-a", "engine-a", "catalogue-a"];
            self.crashed_servers = first.map(str::to_owned).to_vec();
        }
        for name in &self.crashed_servers {
            self.fleet.backend(name).crash().await;
        }
    }

    pub(super) fn set_peer_links(&self, link: LinkState) {
        for process in self.fleet.daemons() {
            process.set_peer_link(link);
        }
    }

    pub(super) fn set_platform_links(&self, link: LinkState) {
        for process in self.fleet.daemons() {
            process.set_platform_link(link);
        }
    }

    /// Adds a fault to the next run of each last stage. Repeatable stages
    /// fail in only one zone, so that a retry can succeed.
    fn fail_last_stages(&self, fault: Fault) {
        for stage in LAST_STAGES {
            // Stage names come from the object set and are valid.
            let name = Some(stage.parse().unwrap());
            let pattern = Pattern { stage: name, ..Pattern::default() };
            for backend in self.fleet.cluster().backends() {
                let non_idempotent = stage == "charge";
                if non_idempotent || backend.name().as_str().ends_with("-a") {
                    let pattern = pattern.clone();
                    let times = Some(1);
                    backend.faults().add(Rule { pattern, fault, times });
                }
            }
        }
    }
}

/// Returns the pool in a server name of the form `<pool>-<zone letter>`.
fn pool_of(server: &str) -> &str {
    server.rsplit_once('-').map_or(server, |(pool, _)| pool)
}
