//! The commands that query running daemons: `status` and `timeline`.
//!
//! | module | purpose |
//! | --- | --- |
//! | `client` | queries daemons and discovers the others from their members |
//! | `assess` | compares the status of daemons with the configuration |
//! | `report` | formats the status as text |
//! | `status`, `timeline` | run the commands |
//! | `layout` | arranges the timeline as an HTML page |
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

/// The exit code if a daemon is unreachable, or if a daemon, zone or backend
/// server is not as configured.
pub const EXIT_UNHEALTHY: u8 = 1;

/// Replaces control characters, which a terminal would interpret. Reasons come
/// from other processes and may quote published objects.
fn replace_control_chars(text: &str) -> String {
    let replaced = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    text.chars().map(replaced).collect()
}
