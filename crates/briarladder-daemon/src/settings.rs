//! The daemon's settings: flags and environment variables.
//!
//! Every flag has an environment variable of the same name with the prefix
//! `BRIARLADDER_`. All values are checked at startup.
//!
//! # Example
//!
//! ```
//! use briarladder_daemon::settings::Settings;
//! use clap::Parser;
//!
//! let settings = Settings::try_parse_from([
//!     "briarladderd", "--vm", "vm-1", "--zone", "recife-a",
//!     "--platform", "127.0.0.1:9000", "--peer-key", "0123456789abcdef",
//! ])
//! .unwrap();
//! assert!(settings.check().is_ok());
//! ```

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::caller_memory::CallerMemoryLimits,
    names::{VmName, ZoneName},
};
use briarladder_gateway::process::descriptor_limit;
use clap::{Parser, ValueEnum};
use derive_more::{Display, Error};

/// The minimum length of the key for peers and operators, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// How many of the largest bodies must fit into the memory for callers: one
/// is copied while it is read, and large ones may use three quarters.
const BODIES_IN_CALLER_MEMORY: usize = 4;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A key whose debug output hides it.
#[derive(Clone, derive_more::FromStr)]
pub struct Secret(String);

impl Secret {
    /// Returns the key itself. Don't print it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("(secret)")
    }
}

/// The daemon of an entry VM of briarladder.
#[derive(Clone, Debug, Parser)]
#[command(name = "briarladderd", version)]
pub struct Settings {
    /// The name of this VM.
    #[arg(long, env = "BRIARLADDER_VM")]
    pub vm: VmName,
    /// The availability zone of this VM.
    #[arg(long, env = "BRIARLADDER_ZONE")]
    pub zone: ZoneName,
    /// The address where callers connect. Port 0 picks a free port.
    #[arg(
        long,
        env = "BRIARLADDER_CALLERS_LISTEN",
        default_value = "127.0.0.1:0"
    )]
    pub callers_listen: SocketAddr,
    /// The address where peers and operators connect. Port 0 picks a free
    /// port.
    #[arg(
        long,
        env = "BRIARLADDER_PEERS_LISTEN",
        default_value = "127.0.0.1:0"
    )]
    pub peers_listen: SocketAddr,
    /// The address to advertise to peers, if it differs from the listener's.
    #[arg(long, env = "BRIARLADDER_PEERS_ADVERTISE")]
    pub peers_advertise: Option<SocketAddr>,
    /// The address of the platform.
    #[arg(long, env = "BRIARLADDER_PLATFORM")]
    pub platform: SocketAddr,
    /// The key that authenticates peers and operators, at least 16 bytes.
    #[arg(long, env = "BRIARLADDER_PEER_KEY", hide_env_values = true)]
    pub peer_key: Secret,
    /// The statsd server that receives metrics over UDP. Without it, no
    /// metrics are sent.
    #[arg(long, env = "BRIARLADDER_STATSD")]
    pub statsd: Option<SocketAddr>,
    /// The maximum size of a request body, in bytes.
    #[arg(
        long,
        env = "BRIARLADDER_MAX_BODY_BYTES",
        default_value_t = 256 * 1024
    )]
    pub max_body_bytes: usize,
    /// The memory that requests of all callers may take, in bytes.
    #[arg(
        long,
        env = "BRIARLADDER_CALLER_MEMORY_BYTES",
        default_value_t = 256 << 20
    )]
    pub caller_memory_bytes: usize,
    /// The maximum size of a request head, in bytes.
    #[arg(
        long,
        env = "BRIARLADDER_MAX_HEAD_BYTES",
        default_value_t = 16 * 1024
    )]
    pub max_head_bytes: usize,
    /// The maximum size of the output of one stage, in bytes.
    #[arg(
        long,
        env = "BRIARLADDER_MAX_OUTPUT_BYTES",
        default_value_t = 4 * 1024 * 1024
    )]
    pub max_output_bytes: usize,
    /// The maximum number of open requests.
    #[arg(
        long,
        env = "BRIARLADDER_MAX_OPEN_REQUESTS",
        default_value_t = 4096
    )]
    pub max_open_requests: usize,
    /// The maximum number of connections from callers.
    #[arg(long, env = "BRIARLADDER_MAX_CONNECTIONS", default_value_t = 8192)]
    pub max_connections: usize,
    /// The timeout for receiving a request's head and for its body, in
    /// milliseconds.
    #[arg(
        long,
        env = "BRIARLADDER_RECEIVE_TIMEOUT_MS",
        default_value_t = 5_000
    )]
    pub receive_timeout_ms: u64,
    /// How long the daemon reports not ready before it refuses new requests,
    /// so that the load balancer notices, in milliseconds.
    #[arg(
        long,
        env = "BRIARLADDER_BALANCER_DELAY_MS",
        default_value_t = 3_000
    )]
    pub balancer_delay_ms: u64,
    /// How long issued tickets can still be used during a graceful shutdown,
    /// in milliseconds.
    #[arg(
        long,
        env = "BRIARLADDER_DRAIN_TIMEOUT_MS",
        default_value_t = 30_000
    )]
    pub drain_timeout_ms: u64,
    /// The number of worker threads. 0 starts one per core.
    #[arg(long, env = "BRIARLADDER_THREADS", default_value_t = 0)]
    pub threads: usize,
    /// The number of events that the timeline keeps.
    #[arg(long, env = "BRIARLADDER_EVENTS_KEPT", default_value_t = 16_384)]
    pub events_kept: usize,
    /// The format of log lines. `RUST_LOG` sets the levels.
    #[arg(
        long,
        env = "BRIARLADDER_LOG_FORMAT",
        value_enum,
        default_value = "text"
    )]
    pub log_format: LogFormat,
    /// Print the settings in force, without secrets, and exit.
    #[arg(long)]
    pub print_settings: bool,
}

/// A setting whose value is outside its valid range.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{flag} is {value}; set it to {remedy}")]
pub struct SettingsError {
    flag: &'static str,
    value: String,
    remedy: &'static str,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for each setting outside its valid range.
    pub fn check(&self) -> Result<(), Vec<SettingsError>> {
        let mut errors = Vec::new();
        let mut check = |flag, ok: bool, value: String, remedy| {
            if !ok {
                errors.push(SettingsError { flag, value, remedy });
            }
        };
        let key_bytes = self.peer_key.expose().len();
        check(
            "--peer-key",
            key_bytes >= MIN_PEER_KEY_BYTES,
            format!("{key_bytes} bytes long"),
            "at least 16 bytes, the same at every daemon",
        );
        check(
            "--max-body-bytes",
            (1..=64 << 20).contains(&self.max_body_bytes),
            self.max_body_bytes.to_string(),
            "1 byte to 64 MiB",
        );
        check(
            "--caller-memory-bytes",
            (1 << 20..=1 << 40).contains(&self.caller_memory_bytes)
                && self.caller_memory_bytes / BODIES_IN_CALLER_MEMORY
                    >= self.max_body_bytes,
            self.caller_memory_bytes.to_string(),
            "1 MiB or more, and four times --max-body-bytes",
        );
        check(
            "--max-head-bytes",
            (8 << 10..=1 << 20).contains(&self.max_head_bytes),
            self.max_head_bytes.to_string(),
            "8 KiB to 1 MiB",
        );
        check(
            "--max-output-bytes",
            (1 << 10..=256 << 20).contains(&self.max_output_bytes),
            self.max_output_bytes.to_string(),
            "1 KiB to 256 MiB",
        );
        check(
            "--max-open-requests",
            (1..=1_000_000).contains(&self.max_open_requests),
            self.max_open_requests.to_string(),
            "1 to 1000000",
        );
        check(
            "--max-connections",
            (1..=1_000_000).contains(&self.max_connections),
            self.max_connections.to_string(),
            "1 to 1000000",
        );
        check(
            "--receive-timeout-ms",
            (10..=600_000).contains(&self.receive_timeout_ms),
            self.receive_timeout_ms.to_string(),
            "10 to 600000 ms",
        );
        let hour_ms = 3_600_000;
        check(
            "--balancer-delay-ms",
            self.balancer_delay_ms <= hour_ms,
            self.balancer_delay_ms.to_string(),
            "0 to 3600000 ms",
        );
        check(
            "--drain-timeout-ms",
            self.drain_timeout_ms <= hour_ms,
            self.drain_timeout_ms.to_string(),
            "0 to 3600000 ms",
        );
        check(
            "--threads",
            self.threads <= 1024,
            self.threads.to_string(),
            "0 to 1024",
        );
        check(
            "--events-kept",
            (16..=1 << 20).contains(&self.events_kept),
            self.events_kept.to_string(),
            "16 to 1048576",
        );
        let unspecified = self
            .peers_advertise
            .unwrap_or(self.peers_listen)
            .ip()
            .is_unspecified();
        check(
            "--peers-advertise",
            !unspecified,
            "an address that peers can't reach".into(),
            "the address of this VM",
        );
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }

    /// Returns the timeout for the head and for the body of a request.
    #[must_use]
    pub fn receive_timeout(&self) -> Duration {
        Duration::from_millis(self.receive_timeout_ms)
    }

    /// Returns the maximum number of connections from callers. A quarter of
    /// the descriptors is left to files and other connections.
    #[must_use]
    pub fn effective_max_connections(&self) -> usize {
        let max_by_descriptors = descriptor_limit()
            .and_then(|limit| usize::try_from(limit - limit / 4).ok())
            .unwrap_or(usize::MAX);
        self.max_connections.min(max_by_descriptors)
    }

    /// Returns what requests of callers may make the process hold. Stalled
    /// ones must leave some connections to others.
    #[must_use]
    pub fn caller_memory_limits(&self) -> CallerMemoryLimits {
        let max_connections = self.effective_max_connections();
        CallerMemoryLimits {
            budget_bytes: self.caller_memory_bytes,
            max_connections: max_connections - max_connections / 4,
        }
    }

    /// Returns the VM's name as a shared string.
    #[must_use]
    pub fn process_name(&self) -> Arc<str> {
        Arc::from(self.vm.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(extra: &[&str]) -> Settings {
        let base = [
            "briarladderd",
            "--vm=vm-1",
            "--zone=z",
            "--platform=127.0.0.1:1",
            "--peer-key=0123456789abcdef",
        ];
        Settings::try_parse_from(base.iter().chain(extra)).unwrap()
    }

    /// Guards against a daemon that starts with unusable settings, and
    /// against an error that doesn't name the flag.
    #[test]
    fn check_names_flag_and_remedy() {
        let bad = [
            "--max-body-bytes=0",
            "--caller-memory-bytes=0",
            "--max-head-bytes=1",
            "--max-output-bytes=1",
            "--max-open-requests=0",
            "--max-connections=0",
            "--receive-timeout-ms=0",
            "--events-kept=0",
            "--balancer-delay-ms=3600001",
            "--drain-timeout-ms=3600001",
            "--threads=1025",
            "--peers-listen=0.0.0.0:0",
        ];
        let errors = parse(&bad).check().unwrap_err();
        assert_eq!(errors.len(), bad.len());
        assert!(errors[0].to_string().contains("--max-body-bytes is 0"));
        assert_eq!(parse(&[]).check(), Ok(()));
    }

    /// Guards against secrets in logs and in the output of
    /// `--print-settings`.
    #[test]
    fn debug_hides_peer_key() {
        let text = format!("{:?}", parse(&[]));
        assert!(!text.contains("0123456789abcdef"));
    }

    /// Guards against a flag that docs/operators.md does not describe.
    #[test]
    fn flags_in_operators_guide() {
        use clap::CommandFactory;

        let page = include_str!("../../../docs/operators.md");
        for argument in Settings::command().get_arguments() {
            let Some(flag) = argument.get_long() else { continue };
            assert!(page.contains(&format!("`--{flag}`")), "--{flag}");
        }
    }
}
