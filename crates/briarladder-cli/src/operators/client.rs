//! Asks daemons, and finds the others through their members.

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

/// Which daemons to ask, and how.
#[derive(Clone, Debug, clap::Args)]
pub struct ConnectArgs {
    /// Where a daemon serves peers. The others are found through it; name
    /// several in case one is down.
    #[arg(
        long = "daemon",
        value_name = "ADDR",
        env = "BRIARLADDER_DAEMON",
        num_args = 1..,
        value_delimiter = ',',
        required = true
    )]
    daemons: Vec<SocketAddr>,

    /// The key of the daemons' --peer-key. The environment variable keeps it
    /// out of the list of processes.
    #[arg(
        long,
        value_name = "KEY",
        env = "BRIARLADDER_PEER_KEY",
        hide_env_values = true
    )]
    peer_key: Secret,

    /// The longest time for one answer, in milliseconds.
    #[arg(
        long,
        default_value_t = 2_000,
        env = "BRIARLADDER_TIMEOUT_MS",
        value_parser = clap::value_parser!(u64).range(1..=600_000)
    )]
    timeout_ms: u64,

    /// The most daemons that are asked at once.
    #[arg(
        long,
        default_value_t = 32,
        env = "BRIARLADDER_CONCURRENCY",
        value_parser = clap::value_parser!(u16).range(1..=1_000)
    )]
    concurrency: u16,
}

/// Why a daemon gave no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum UnreachableCause {
    /// It refused the key.
    #[display(
        "it refused the key; set --peer-key or BRIARLADDER_PEER_KEY to the \
         key of the daemons"
    )]
    KeyRefused,
    /// It did not answer in time.
    #[display("no answer within {timeout_ms} ms")]
    TimedOut {
        /// The time it had.
        timeout_ms: u64,
    },
    /// It could not be asked, or its answer could not be read.
    #[display("{reason}")]
    Failed {
        /// The reason.
        reason: String,
    },
}

/// What came of asking one daemon.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusResult {
    /// Its status.
    #[serde(rename = "answered")]
    Received(Box<DaemonStatus>),
    /// None.
    Unreachable(UnreachableCause),
}

/// A daemon that was asked.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoveredDaemon {
    /// Where it was asked.
    pub address: SocketAddr,
    /// The VM; absent if no daemon that answered knows the address.
    pub vm: Option<VmName>,
    /// Its availability zone.
    pub zone: Option<ZoneName>,
    /// What came of it.
    #[serde(rename = "reply")]
    pub result: StatusResult,
}

impl DiscoveredDaemon {
    /// Returns the status, if there is one.
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

/// Asks daemons as [`ConnectArgs`] says.
#[derive(Clone, Debug)]
pub struct FleetClient {
    daemons: Vec<SocketAddr>,
    headers: HeaderMap,
    timeout_ms: u64,
    concurrency: usize,
}

impl FleetClient {
    /// Creates it.
    ///
    /// # Errors
    ///
    /// Returns an error when the key can't be sent in a header.
    pub fn new(connect: &ConnectArgs) -> anyhow::Result<FleetClient> {
        let key = connect.peer_key.expose();
        // The cause is left out, so that no text can quote the key.
        let mut value = HeaderValue::from_str(key).ok().context(
            "--peer-key has characters that a header can't carry; set it to \
             the key of the daemons",
        )?;
        value.set_sensitive(true);
        let mut headers = HeaderMap::new();
        headers.insert(PEER_KEY_HEADER, value);
        Ok(FleetClient {
            daemons: connect.daemons.clone(),
            headers,
            timeout_ms: connect.timeout_ms,
            concurrency: usize::from(connect.concurrency),
        })
    }

    /// Returns the most daemons that are asked at once.
    #[must_use]
    pub fn concurrency(&self) -> usize {
        self.concurrency
    }

    /// Returns a client to one daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be set up.
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

    /// Returns why a call failed.
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
                _ => UnreachableCause::Failed { reason: innermost(&**cause) },
            },
            other => UnreachableCause::Failed { reason: other.to_string() },
        }
    }

    /// Asks the named daemons, then the members they know, until no new one
    /// turns up. Members that are held to be dead are asked as well: the
    /// view may be that of one side of a partition.
    ///
    /// # Errors
    ///
    /// Returns an error when every daemon that was reached refuses the key.
    pub async fn discover(&self) -> anyhow::Result<Vec<DiscoveredDaemon>> {
        let mut asked: SortedSet<SocketAddr> = SortedSet::new();
        let mut replies: SortedMap<SocketAddr, StatusResult> =
            SortedMap::new();
        let mut next = self.daemons.clone();
        while !next.is_empty() {
            next.retain(|address| asked.insert(*address));
            let asking =
                stream::iter(next.drain(..).map(|address| async move {
                    (address, self.ask(address).await)
                }));
            let answers: Vec<_> =
                asking.buffer_unordered(self.concurrency).collect().await;
            for (address, reply) in answers {
                if let StatusResult::Received(status) = &reply {
                    next.extend(status.members.iter().map(|m| m.address));
                }
                replies.insert(address, reply);
            }
        }
        let places = name_places(&replies);
        let refused = |place: &DiscoveredDaemon| {
            matches!(
                &place.result,
                StatusResult::Unreachable(UnreachableCause::KeyRefused)
            )
        };
        let answered = places.iter().any(|place| place.status().is_some());
        if !answered && let Some(first) = places.iter().find(|p| refused(p)) {
            bail!("{}: {}", first.address, UnreachableCause::KeyRefused);
        }
        Ok(places)
    }

    async fn ask(&self, address: SocketAddr) -> StatusResult {
        let client = match self.client(address) {
            Ok(client) => client,
            Err(unreachable) => return StatusResult::Unreachable(unreachable),
        };
        match client.status().await {
            Ok(status) => StatusResult::Received(Box::new(status)),
            Err(error) => {
                StatusResult::Unreachable(self.classify_error(&error))
            }
        }
    }
}

fn innermost(error: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = error;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

/// Names each place after what it says of itself, or what members say of its
/// address, and lists each daemon once.
fn name_places(
    replies: &SortedMap<SocketAddr, StatusResult>,
) -> Vec<DiscoveredDaemon> {
    let statuses = replies.values().filter_map(|reply| match reply {
        StatusResult::Received(status) => Some(status),
        StatusResult::Unreachable(_) => None,
    });
    let mut said = SortedMap::new();
    let mut running = SortedSet::new();
    for status in statuses {
        running.insert(status.vm.clone());
        for member in &status.members {
            let names = (member.vm.clone(), member.zone.clone());
            said.insert(member.address, names);
        }
    }
    let mut seen = SortedSet::new();
    let mut places = Vec::new();
    for (address, reply) in replies.iter() {
        let names = match reply {
            StatusResult::Received(status) => {
                // One daemon may have several addresses.
                if !seen.insert(status.incarnation) {
                    continue;
                }
                Some((status.vm.clone(), status.zone.clone()))
            }
            StatusResult::Unreachable(_) => said.get(address).cloned(),
        };
        let (vm, zone) = names.unzip();
        let moved = vm.as_ref().is_some_and(|vm| running.contains(vm));
        if matches!(reply, StatusResult::Unreachable(_)) && moved {
            // An address from before the VM's restart.
            continue;
        }
        places.push(DiscoveredDaemon {
            address: *address,
            vm,
            zone,
            result: reply.clone(),
        });
    }
    places.sort_by(|a, b| (&a.zone, &a.vm).cmp(&(&b.zone, &b.vm)));
    places
}
