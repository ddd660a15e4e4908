//! Which backend servers take new work.

use crate::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::ServerName,
    sorted::SortedMap,
};

/// How many earlier incarnations of a server are remembered. A report that
/// arrives late from one of them is recognised and ignored.
const PAST_INCARNATIONS: usize = 4;

#[derive(Debug)]
struct Said {
    incarnation: Incarnation,
    state: ServerState,
    past: Vec<Incarnation>,
}

/// What backend servers said of themselves. Their own word takes precedence
/// over the platform's list.
#[derive(Debug, Default)]
pub struct ServerStates {
    said: SortedMap<ServerName, Said>,
}

impl ServerStates {
    /// Creates a view without reports.
    #[must_use]
    pub fn new() -> ServerStates {
        ServerStates::default()
    }

    /// Takes over a report, which may be late, and returns the state of the
    /// server if it changed. A server that said it leaves stays leaving
    /// until a new incarnation of it reports.
    pub fn record_report(
        &mut self,
        server: &ServerName,
        report: &LoadReport,
    ) -> Option<ServerState> {
        let fresh = || Said {
            incarnation: report.incarnation,
            state: report.state,
            past: Vec::new(),
        };
        let Some(said) = self.said.get_mut(server) else {
            self.said.insert(server.clone(), fresh());
            return Some(report.state);
        };
        let before = said.state;
        if said.incarnation != report.incarnation {
            if said.past.contains(&report.incarnation) {
                return None;
            }
            let mut past = std::mem::take(&mut said.past);
            past.insert(0, said.incarnation);
            past.truncate(PAST_INCARNATIONS);
            *said = Said { past, ..fresh() };
        } else if report.state == ServerState::Leaving {
            // Leaving holds even if it arrives late.
            said.state = ServerState::Leaving;
        }
        (said.state != before).then_some(said.state)
    }

    /// Returns whether a server takes new work. `listed` is the state in the
    /// platform's list, which can stop new work but not allow it.
    #[must_use]
    pub fn state(
        &self,
        server: &ServerName,
        listed: ServerState,
    ) -> ServerState {
        match (self.said.get(server), listed) {
            (Some(said), _) if said.state == ServerState::Leaving => {
                ServerState::Leaving
            }
            (_, listed) => listed,
        }
    }

    /// Drops what is known of servers that no snapshot names any more.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerName) -> bool) {
        self.said.retain(|server, _| keep(server));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a lagging list or a late report that sends new work to
    /// a server that said it leaves.
    #[test]
    fn state_keeps_leaving_within_incarnation() {
        let server = ServerName::new("engine-1").unwrap();
        let mut servers = ServerStates::new();
        let report = |incarnation, sequence, state| LoadReport {
            incarnation: Incarnation(incarnation),
            sequence,
            state,
            slots_requests: 1,
            running_requests: 0,
            queued_requests: 0,
            epoch_seen: 0,
            model_versions: Vec::new(),
        };
        let (ready, leaving) = (ServerState::Ready, ServerState::Leaving);
        // Incarnation, sequence, what it reports, the state afterwards.
        let steps = [
            (9, 1, ready, ready),
            (9, 5, leaving, leaving),
            (9, 4, ready, leaving),
            (9, 6, ready, leaving),
            (3, 1, ready, ready),
            (9, 7, leaving, ready),
        ];
        for (incarnation, sequence, said, expected) in steps {
            servers
                .record_report(&server, &report(incarnation, sequence, said));
            assert_eq!(servers.state(&server, ready), expected, "{sequence}");
        }
        assert_eq!(servers.state(&server, leaving), leaving);
    }
}
