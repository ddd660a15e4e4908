//! The steps of a request and the faults injected at each: the rows and
//! columns of the fault matrix.

use derive_more::Display;
use serde::Deserialize;

/// The point of a scenario at which a fault is injected.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd,
)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Before a caller requests a ticket.
    #[display("ticket")]
    Ticket,
    /// Before the daemon reads a request.
    #[display("accept")]
    Accept,
    /// After a request was validated, when it asks for its first slot.
    #[display("admit")]
    Admit,
    /// While requests wait for a slot.
    #[display("queue")]
    Queue,
    /// While an early stage runs, so that the fault affects the last stage
    /// before its first byte.
    #[display("dispatch before the first byte")]
    DispatchBeforeFirstByte,
    /// After the last stage has reached its backend server.
    #[display("dispatch after the first byte")]
    DispatchAfterFirstByte,
    /// While the last stage runs.
    #[display("wait")]
    Wait,
    /// After the first tokens of a stream.
    #[display("stream")]
    Stream,
    /// Between two stages.
    #[display("next stage")]
    NextStage,
    /// After the last stage has run, while its response is in transit.
    #[display("deliver")]
    Deliver,
    /// Before callers query the status of a ticket.
    #[display("status query")]
    StatusQuery,
    /// After a new epoch was published.
    #[display("read and apply configuration")]
    Configuration,
    /// When a daemon joins and a backend server leaves.
    #[display("membership change")]
    MembershipChange,
    /// When an engine receives an order to change its model versions.
    #[display("order")]
    Order,
    /// After a graceful shutdown has begun.
    #[display("planned stop")]
    PlannedStop,
}

impl Step {
    /// All steps in the order of docs/fault-matrix.md.
    pub const ALL: [Step; 15] = [
        Step::Accept,
        Step::Ticket,
        Step::Admit,
        Step::Queue,
        Step::DispatchBeforeFirstByte,
        Step::DispatchAfterFirstByte,
        Step::Wait,
        Step::Stream,
        Step::NextStage,
        Step::Deliver,
        Step::StatusQuery,
        Step::Configuration,
        Step::MembershipChange,
        Step::Order,
        Step::PlannedStop,
    ];
}

/// The kind of fault to inject.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd,
)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The next run of a last stage on each backend server is 80 ms slower.
    #[display("server slow")]
    ServerSlow,
    /// The next run of a last stage on each backend server fails with status
    /// 500.
    #[display("server erring")]
    ServerErring,
    /// 32 additional requests arrive at once.
    #[display("server bursting")]
    ServerBursting,
    /// The backend servers that run the requests crash.
    #[display("server crashed")]
    ServerCrashed,
    /// The daemon that serves the requests is killed.
    #[display("daemon killed")]
    DaemonKilled,
    /// The process that serves the requests is paused for 1.2 s.
    #[display("daemon paused")]
    DaemonPaused,
    /// The daemons can't reach each other.
    #[display("partition from peers")]
    PartitionPeer,
    /// The daemons can't reach the platform.
    #[display("partition from platform")]
    PartitionPlatform,
    /// The daemons can't reach the backend servers.
    #[display("partition from servers")]
    PartitionServers,
    /// The platform refuses connections.
    #[display("platform down")]
    PlatformDown,
    /// The platform returns an old epoch.
    #[display("platform stale")]
    PlatformStale,
    /// The VM list contains a daemon that no longer exists and lacks a running
    /// one.
    #[display("list lagging")]
    ListLagging,
    /// Backend servers return no load reports.
    #[display("report lost")]
    ReportLost,
    /// The responses of last stages are delayed by 120 ms.
    #[display("answer late")]
    AnswerLate,
    /// A last stage returns the response to another request.
    #[display("answer crossed")]
    AnswerCrossed,
    /// The response or each token of a last stage is sent twice.
    #[display("answer doubled")]
    AnswerDoubled,
    /// Each caller resends its request to the other daemon.
    #[display("caller resends")]
    CallerResends,
    /// Each caller closes its connection.
    #[display("caller leaves")]
    CallerLeaves,
    /// A poison request crashes each backend server that runs it.
    #[display("poison request")]
    PoisonRequest,
}

impl FaultKind {
    /// All faults in the order of docs/fault-matrix.md.
    pub const ALL: [FaultKind; 19] = [
        FaultKind::ServerSlow,
        FaultKind::ServerErring,
        FaultKind::ServerBursting,
        FaultKind::ServerCrashed,
        FaultKind::DaemonKilled,
        FaultKind::DaemonPaused,
        FaultKind::PartitionPeer,
        FaultKind::PartitionPlatform,
        FaultKind::PartitionServers,
        FaultKind::PlatformDown,
        FaultKind::PlatformStale,
        FaultKind::ListLagging,
        FaultKind::ReportLost,
        FaultKind::AnswerLate,
        FaultKind::AnswerCrossed,
        FaultKind::AnswerDoubled,
        FaultKind::CallerResends,
        FaultKind::CallerLeaves,
        FaultKind::PoisonRequest,
    ];
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{fault} at {step}")]
pub struct Injection {
    /// The step at which the fault takes effect.
    pub step: Step,
    /// The fault to inject.
    pub fault: FaultKind,
}

impl Injection {
    /// Returns the step at which the fault must be injected. The stand-in
    /// chooses the fault of a response when its attempt starts, so a fault in
    /// a response in transit must be injected before dispatch.
    pub fn injection_step(self) -> Step {
        let affects_response = matches!(
            self.fault,
            FaultKind::ServerSlow
                | FaultKind::ServerErring
                | FaultKind::AnswerLate
                | FaultKind::AnswerCrossed
                | FaultKind::AnswerDoubled
        );
        let in_progress = matches!(
            self.step,
            Step::DispatchAfterFirstByte
                | Step::Wait
                | Step::Stream
                | Step::Deliver
        );
        if affects_response && in_progress {
            Step::DispatchBeforeFirstByte
        } else {
            self.step
        }
    }
}
