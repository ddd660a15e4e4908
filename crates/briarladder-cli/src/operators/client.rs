//! Querying daemons, and discovering the others from their members.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use briarladder_core::{
    names::{VmName, ZoneName},
    sorted::{SortedMap, SortedSet},
};
use briarladder_daemon::settings::Secret;
use briarladder_wire::{
    operators::{DaemonStatus, OperatorsClient},
    peers::PEER_KEY_HEADER,
};
use derive_more::Display;
use futures_util::{StreamExt, stream};
use jsonrpsee::{
    core::client::Error,
    http_client::{
        HeaderMap, HeaderValue, HttpClient, HttpClientBuilder, transport,
    },
};
use serde::Serialize;

const UNAUTHORIZED: u16 = 401;

/// The flags that tell which daemons are queried, and how.
#[derive(Clone, Debug, clap::Args)]
pub struct ConnectArgs {
    /// The address at which a daemon serves peers. The other daemons are
    /// discovered from it; pass several in case one is down.
    #[arg(
        long = "daemon",
        value_name = "ADDR",
        env = "BRIARLADDER_DAEMON",
        num_args = 1..,
        value_delimiter = ',',
        required = true
    )]
    daemons: Vec<SocketAddr>,

    /// The value of the daemons' --peer-key. Prefer the environment variable:
    /// the process list shows flags.
    #[arg(
        long,
        value_name = "KEY",
        env = "BRIARLADDER_PEER_KEY",
        hide_env_values = true
    )]
    peer_key: Secret,

    /// The time limit for each response, in milliseconds.
    #[arg(
        long,
        default_value_t = 2_000,
        env = "BRIARLADDER_TIMEOUT_MS",
        value_parser = clap::value_parser!(u64).range(1..=600_000)
    )]
    timeout_ms: u64,

    /// The maximum number of daemons that are queried concurrently.
    #[arg(
        long,
        default_value_t = 32,
        env = "BRIARLADDER_CONCURRENCY",
        value_parser = clap::value_parser!(u16).range(1..=1_000)
    )]
    concurrency: u16,
}

/// Why there is no status of a daemon.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum UnreachableCause {
    /// The daemon refused the key.
    #[display(
        "it refused the key; set --peer-key or BRIARLADDER_PEER_KEY to the \
         key of the daemons"
    )]
    KeyRefused,
    /// The daemon did not respond within the timeout.
    #[display("no response within {timeout_ms} ms")]
    TimedOut {
        /// The timeout.
        timeout_ms: u64,
    },
    /// The query could not be sent, or the response was invalid.
    #[display("{reason}")]
    Failed {
        /// The cause of the failure.
        reason: String,
    },
}

/// The result of querying the status of a daemon.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusResult {
    /// The status that it sent.
    #[serde(rename = "answered")]
    Received(Box<DaemonStatus>),
    /// No status was received.
    Unreachable(UnreachableCause),
}

/// A daemon whose status was queried.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoveredDaemon {
    /// The address at which it was queried.
    pub address: SocketAddr,
    /// The VM; absent if no daemon that responded knows the address.
    pub vm: Option<VmName>,
    /// The availability zone; absent if the VM is.
    pub zone: Option<ZoneName>,
    /// The status, or why there is none.
    #[serde(rename = "reply")]
    pub result: StatusResult,
}

impl DiscoveredDaemon {
    /// Returns the status if it was received.
    #[must_use]
    pub fn status(&self) -> Option<&DaemonStatus> {
        match &self.result {
            StatusResult::Received(status) => Some(status),
            StatusResult::Unreachable(_) => None,
        }
    }

    /// Returns the VM, or the address if the VM is unknown.
    #[must_use]
    pub fn label(&self) -> String {
        let vm = self.vm.as_ref().map(ToString::to_string);
        vm.unwrap_or_else(|| self.address.to_string())
    }
}

/// Queries daemons as specified by [`ConnectArgs`].
#[derive(Clone, Debug)]
pub struct FleetClient {
    daemons: Vec<SocketAddr>,
    headers: HeaderMap,
    timeout_ms: u64,
    concurrency: usize,
}

impl FleetClient {
    /// Creates a client. It connects to no daemon yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the key can't be sent in a header.
    pub fn new(args: &ConnectArgs) -> anyhow::Result<FleetClient> {
        let key = args.peer_key.expose();
        // The cause is dropped because it could quote the key.
        let mut value = HeaderValue::from_str(key).ok().context(
            "--peer-key has characters that a header can't carry; set it to \
             the key of the daemons",
        )?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert(PEER_KEY_HEADER, value);
        Ok(FleetClient {
            daemons: args.daemons.clone(),
            headers,
            timeout_ms: args.timeout_ms,
            concurrency: usize::from(args.concurrency),
        })
    }

    /// Returns the maximum number of daemons that are queried concurrently.
    #[must_use]
    pub fn concurrency(&self) -> usize {
        self.concurrency
    }

    /// Returns an RPC client to one daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the client can't be set up.
    pub fn client(
        &self,
        address: SocketAddr,
    ) -> Result<HttpClient, UnreachableCause> {
        let timeout = Duration::from_millis(self.timeout_ms);
        HttpClientBuilder::default()
            .request_timeout(timeout)
            .connect_timeout(timeout)
            .set_headers(self.headers.clone())
            .build(format!("http://{address}"))
            .map_err(|error| self.classify_error(&error))
    }

    /// Returns the cause of a failed call.
    #[must_use]
    pub fn classify_error(&self, error: &Error) -> UnreachableCause {
        match error {
            Error::RequestTimeout => {
                UnreachableCause::TimedOut { timeout_ms: self.timeout_ms }
            }
            Error::Transport(cause) => match cause.downcast_ref() {
                Some(transport::Error::Rejected {
                    status_code: UNAUTHORIZED,
                }) => UnreachableCause::KeyRefused,
                _ => UnreachableCause::Failed { reason: root_cause(&**cause) },
            },
            other => UnreachableCause::Failed { reason: other.to_string() },
        }
    }

    /// Queries the configured daemons, then the members that they know, until
    /// no new address is found. Members that are believed to be dead are
    /// queried as well, because only one side of a partition may believe so.
    ///
    /// # Errors
    ///
    /// Returns an error when a daemon refuses the key and none sends its
    /// status.
    pub async fn discover(&self) -> anyhow::Result<Vec<DiscoveredDaemon>> {
        let mut queried: SortedSet<SocketAddr> = SortedSet::new();
        let mut results: SortedMap<SocketAddr, StatusResult> =
            SortedMap::new();
        let mut next = self.daemons.clone();
        while !next.is_empty() {
            next.retain(|address| queried.insert(*address));
            let pending =
                stream::iter(next.drain(..).map(|address| async move {
                    (address, self.query_status(address).await)
                }));
            let round: Vec<_> =
                pending.buffer_unordered(self.concurrency).collect().await;
            for (address, result) in round {
                if let StatusResult::Received(status) = &result {
                    next.extend(status.members.iter().map(|m| m.address));
                }
                results.insert(address, result);
            }
        }
        let daemons = identify_daemons(&results);
        let key_refused = |daemon: &DiscoveredDaemon| {
            matches!(
                &daemon.result,
                StatusResult::Unreachable(UnreachableCause::KeyRefused)
            )
        };
        let any_status = daemons.iter().any(|d| d.status().is_some());
        if !any_status
            && let Some(first) = daemons.iter().find(|d| key_refused(d))
        {
            bail!("{}: {}", first.address, UnreachableCause::KeyRefused);
        }
        Ok(daemons)
    }

    async fn query_status(&self, address: SocketAddr) -> StatusResult {
        let client = match self.client(address) {
            Ok(client) => client,
            Err(cause) => return StatusResult::Unreachable(cause),
        };
        match client.status().await {
            Ok(status) => StatusResult::Received(Box::new(status)),
            Err(error) => {
                StatusResult::Unreachable(self.classify_error(&error))
            }
        }
    }
}

/// Returns the text of the innermost error of a chain.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

/// Assigns a VM and zone to each queried address: those that the daemon sent
/// itself, else those that other daemons have for the address. Each daemon is
/// listed once.
fn identify_daemons(
    results: &SortedMap<SocketAddr, StatusResult>,
) -> Vec<DiscoveredDaemon> {
    let statuses = results.values().filter_map(|result| match result {
        StatusResult::Received(status) => Some(status),
        StatusResult::Unreachable(_) => None,
    });
    let mut names_by_address = SortedMap::new();
    let mut running_vms = SortedSet::new();
    for status in statuses {
        running_vms.insert(status.vm.clone());
        for member in &status.members {
            let names = (member.vm.clone(), member.zone.clone());
            names_by_address.insert(member.address, names);
        }
    }
    let mut seen_incarnations = SortedSet::new();
    let mut daemons = Vec::new();
    for (address, result) in results.iter() {
        let names = match result {
            StatusResult::Received(status) => {
                // A daemon may have been queried at several addresses.
                if !seen_incarnations.insert(status.incarnation) {
                    continue;
                }
                Some((status.vm.clone(), status.zone.clone()))
            }
            StatusResult::Unreachable(_) => {
                names_by_address.get(address).cloned()
            }
        };
        let (vm, zone) = names.unzip();
        let vm_runs = vm.as_ref().is_some_and(|vm| running_vms.contains(vm));
        if matches!(result, StatusResult::Unreachable(_)) && vm_runs {
            // The address is from before a restart of the daemon.
            continue;
        }
        daemons.push(DiscoveredDaemon {
            address: *address,
            vm,
            zone,
            result: result.clone(),
        });
    }
    daemons.sort_by(|a, b| (&a.zone, &a.vm).cmp(&(&b.zone, &b.vm)));
    daemons
}
