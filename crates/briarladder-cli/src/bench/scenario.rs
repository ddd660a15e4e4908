//! The scenarios, and the windows of time of each run.

use clap::ValueEnum;
use derive_more::Display;
use serde::Serialize;

/// A system under test.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum System {
    /// The daemons.
    #[display("briarladder")]
    #[serde(rename = "briarladder")]
    #[value(name = "briarladder")]
    Product,
    /// A dispatcher without admission.
    #[display("baseline")]
    Baseline,
}

/// What happens in the last window of a run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Nothing changes.
    #[display("steady")]
    Steady,
    /// Least urgent work arrives at ten times capacity.
    #[display("flood-least-urgent")]
    FloodLeastUrgent,
    /// The most urgent work arrives at ten times capacity.
    #[display("flood-urgent")]
    FloodUrgent,
    /// One caller sends 20 times its share.
    #[display("large-callers")]
    LargeCallers,
    /// Two engines and an encoder die.
    #[display("backend-loss")]
    BackendLoss,
    /// One daemon dies.
    #[display("daemon-loss")]
    DaemonLoss,
    /// One stage takes half as long again at every backend server.
    #[display("slow-stage")]
    SlowStage,
    /// A caller resends a request that crashes each engine that runs it.
    #[display("poison")]
    Poison,
    /// A second daemon joins in each zone.
    #[display("scale-up")]
    ScaleUp,
}

/// A part of a run.
#[derive(
    Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Window {
    /// Steady load that is not reported.
    #[display("warm-up")]
    WarmUp,
    /// Steady load.
    #[display("steady")]
    Steady,
    /// The steady mix at the capacity of the engines.
    #[display("capacity")]
    Capacity,
    /// The scenario's event.
    #[display("event")]
    Event,
}

impl Scenario {
    /// Returns the windows of a run in order.
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
