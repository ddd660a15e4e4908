//! The states that backend servers report about themselves.

use crate::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::ServerName,
    sorted::SortedMap,
};

/// The number of earlier incarnations of a server that are remembered, so that
/// late reports from them are ignored.
const PAST_INCARNATIONS: usize = 4;

#[derive(Debug)]
struct ReportedState {
    incarnation: Incarnation,
    state: ServerState,
    /// Earlier incarnations, the latest first.
    past: Vec<Incarnation>,
}

/// The last reported state of each backend server. A report that a server is
/// leaving takes precedence over the platform's list.
#[derive(Debug, Default)]
pub struct ServerStates {
    states: SortedMap<ServerName, ReportedState>,
}

impl ServerStates {
    /// Creates a collection without reports.
    #[must_use]
    pub fn new() -> ServerStates {
        ServerStates::default()
    }

    /// Records a report, which may be late, and returns the state of the
    /// server if it changed. A server that reported that it is leaving keeps
    /// this state until a new incarnation reports.
    pub fn record_report(
        &mut self,
        server: &ServerName,
        report: &LoadReport,
    ) -> Option<ServerState> {
        let new_state = || ReportedState {
            incarnation: report.incarnation,
            state: report.state,
            past: Vec::new(),
        };
        let Some(reported) = self.states.get_mut(server) else {
            self.states.insert(server.clone(), new_state());
            return Some(report.state);
        };
        let before = reported.state;
        if reported.incarnation != report.incarnation {
            if reported.past.contains(&report.incarnation) {
                return None;
            }
            let mut past = std::mem::take(&mut reported.past);
            past.insert(0, reported.incarnation);
            past.truncate(PAST_INCARNATIONS);
            *reported = ReportedState { past, ..new_state() };
        } else if report.state == ServerState::Leaving {
            // Leaving is final, so it is applied even if the report is late.
            reported.state = ServerState::Leaving;
        }
        (reported.state != before).then_some(reported.state)
    }

    /// Returns whether a server takes new work. `listed` is its state in the
    /// platform's list, which can exclude a server but can't override its own
    /// report.
    #[must_use]
    pub fn state(
        &self,
        server: &ServerName,
        listed: ServerState,
    ) -> ServerState {
        match (self.states.get(server), listed) {
            (Some(reported), _) if reported.state == ServerState::Leaving => {
                ServerState::Leaving
            }
            (_, listed) => listed,
        }
    }

    /// Retains only the servers for which `keep` returns true, such as those
    /// that a snapshot in use contains.
    pub fn retain(&mut self, mut keep: impl FnMut(&ServerName) -> bool) {
        self.states.retain(|server, _| keep(server));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against new work for a server that reported that it is leaving,
    /// because of an outdated list or a late report.
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
        // Incarnation, sequence, reported state, resulting state.
        let steps = [
            (9, 1, ready, ready),
            (9, 5, leaving, leaving),
            (9, 4, ready, leaving),
            (9, 6, ready, leaving),
            (3, 1, ready, ready),
            (9, 7, leaving, ready),
        ];
        for (incarnation, sequence, new_state, expected) in steps {
            servers.record_report(
                &server,
                &report(incarnation, sequence, new_state),
            );
            assert_eq!(servers.state(&server, ready), expected, "{sequence}");
        }
        assert_eq!(servers.state(&server, leaving), leaving);
    }
}
