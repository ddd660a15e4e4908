//! The steps of a request and the faults that can strike at each.

use derive_more::Display;
use serde::Deserialize;

/// When a fault strikes.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd,
)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Before a caller takes a ticket.
    #[display("ticket")]
    Ticket,
    /// Before the daemon reads a request.
    #[display("accept")]
    Accept,
    /// When a request was checked and asks for its first slot.
    #[display("admit")]
    Admit,
    /// While requests wait for a slot.
    #[display("queue")]
    Queue,
    /// While an early stage runs, so that the last one meets the fault
    /// before its first byte.
    #[display("dispatch before the first byte")]
    DispatchBeforeFirstByte,
    /// When the last stage has reached its backend server.
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
    /// When the last stage has run and its answer is on the way.
    #[display("deliver")]
    Deliver,
    /// Before callers ask for the status of a ticket.
    #[display("status query")]
    StatusQuery,
    /// When a new epoch was published.
    #[display("read and apply configuration")]
    Configuration,
    /// When a daemon joins and a backend server leaves.
    #[display("membership change")]
    MembershipChange,
    /// When an engine is ordered to change.
    #[display("order")]
    Order,
    /// When a planned stop has begun.
    #[display("planned stop")]
    PlannedStop,
}

impl Step {
    /// All steps in the order of the page.
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

/// What goes wrong.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd,
)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The backend servers take 100 ms longer.
    #[display("server slow")]
    ServerSlow,
    /// Each backend server answers the next run of a last stage with 500.
    #[display("server erring")]
    ServerErring,
    /// 32 further requests arrive at once.
    #[display("server bursting")]
    ServerBursting,
    /// The backend servers that run the requests crash.
    #[display("server crashed")]
    ServerCrashed,
    /// The daemon that serves the requests dies.
    #[display("daemon killed")]
    DaemonKilled,
    /// The daemon that serves the requests does not run for 1.2 s.
    #[display("daemon paused")]
    DaemonPaused,
    /// The daemons do not reach one another.
    #[display("partition from peers")]
    PartitionPeer,
    /// The daemons do not reach the platform.
    #[display("partition from platform")]
    PartitionPlatform,
    /// The daemons do not reach the backend servers.
    #[display("partition from servers")]
    PartitionServers,
    /// The platform refuses connections.
    #[display("platform down")]
    PlatformDown,
    /// The platform shows an old epoch.
    #[display("platform stale")]
    PlatformStale,
    /// The list has a daemon that is gone and lacks one that runs.
    #[display("list lagging")]
    ListLagging,
    /// There are no load reports.
    #[display("report lost")]
    ReportLost,
    /// The answers of last stages come 120 ms late.
    #[display("answer late")]
    AnswerLate,
    /// A last stage is answered with the answer of another request.
    #[display("answer crossed")]
    AnswerCrossed,
    /// The answer or each token of a last stage comes twice.
    #[display("answer doubled")]
    AnswerDoubled,
    /// Each caller sends its request again to the other daemon.
    #[display("caller resends")]
    CallerResends,
    /// Each caller closes its connection.
    #[display("caller leaves")]
    CallerLeaves,
    /// A request crashes each backend server that runs it.
    #[display("poison request")]
    PoisonRequest,
}

impl FaultKind {
    /// All faults in the order of the page.
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
    /// When.
    pub step: Step,
    /// What.
    pub fault: FaultKind,
}

impl Injection {
    /// Returns the step at which the cause is put in place. What is wrong
    /// with an answer is decided when its attempt starts, so that a fault of
    /// an answer under way has its cause before.
    pub fn step_of_cause(self) -> Step {
        let of_answer = matches!(
            self.fault,
            FaultKind::ServerSlow
                | FaultKind::ServerErring
                | FaultKind::AnswerLate
                | FaultKind::AnswerCrossed
                | FaultKind::AnswerDoubled
        );
        let under_way = matches!(
            self.step,
            Step::DispatchAfterFirstByte
                | Step::Wait
                | Step::Stream
                | Step::Deliver
        );
        if of_answer && under_way {
            Step::DispatchBeforeFirstByte
        } else {
            self.step
        }
    }
}
