//! The commands that ask running daemons: `status` and `timeline`.
//!
//! | module | purpose |
//! | --- | --- |
//! | `client` | asks daemons and finds the others through their members |
//! | `assess` | compares what daemons say with what was declared |
//! | `report` | the status as text |
//! | `status`, `timeline` | the commands |
//! | `layout` | lanes and bars of the timeline's page |
//!
//! # Example
//!
//! ```
//! use briarladder_cli::operators::assess::assess;
//!
//! let fleet = assess(&[]);
//! assert!(fleet.findings.is_empty());
//! ```

pub mod assess;
pub mod client;
pub mod layout;
mod report;
pub mod status;
pub mod timeline;

/// Exit code if something is behind or can't be reached.
pub const EXIT_UNHEALTHY: u8 = 1;

/// Replaces control characters, which a terminal would obey. Reasons come
/// from other processes and may quote what operators published.
fn printable(text: &str) -> String {
    let shown = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(shown).collect()
}
