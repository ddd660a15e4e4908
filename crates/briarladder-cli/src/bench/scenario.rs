//! Scenarios, systems under test, and the time windows of a run.

use clap::ValueEnum;
use derive_more::Display;
use serde::Serialize;

/// A system under test.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum System {
    /// The briarladder daemons.
    #[display("briarladder")]
    #[serde(rename = "briarladder")]
    #[value(name = "briarladder")]
    Product,
    /// A dispatcher without admission control.
    #[display("baseline")]
    Baseline,
}

/// A load pattern or fault that is applied in the last window of a run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// No change: steady load throughout.
    #[display("steady")]
    Steady,
    /// Requests of the least urgent rank arrive at ten times capacity.
    #[display("flood-least-urgent")]
    FloodLeastUrgent,
    /// Requests of the most urgent rank arrive at ten times capacity.
    #[display("flood-urgent")]
    FloodUrgent,
    /// One caller sends at 20 times its steady rate.
    #[display("large-callers")]
    LargeCallers,
    /// Two engines and an encoder crash.
    #[display("backend-loss")]
    BackendLoss,
    /// One daemon crashes.
    #[display("daemon-loss")]
    DaemonLoss,
    /// One stage takes 50% longer at every backend server.
    #[display("slow-stage")]
    SlowStage,
    /// A caller keeps sending a poison request, which crashes each engine
    /// that runs it.
    #[display("poison")]
    Poison,
    /// One more daemon joins in each zone.
    #[display("scale-up")]
    ScaleUp,
}

/// A time window of a run.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// Steady load before measuring; not reported.
    #[display("warm-up")]
    WarmUp,
    /// Steady load.
    #[display("steady")]
    Steady,
    /// The steady mix, scaled to the full capacity of the engines.
    #[display("capacity")]
    Capacity,
    /// The load pattern or fault of the scenario.
    #[display("event")]
    Event,
}

impl Scenario {
    /// Returns the windows of a run in order. Floods have a capacity window
    /// to compare with.
    #[must_use]
    pub fn windows(self) -> &'static [Window] {
        match self {
            Scenario::FloodLeastUrgent | Scenario::FloodUrgent => &[
                Window::WarmUp,
                Window::Steady,
                Window::Capacity,
                Window::Event,
            ],
            _ => &[Window::WarmUp, Window::Steady, Window::Event],
        }
    }
}
