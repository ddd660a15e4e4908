//! The members that share what the whole fleet may use.

use std::sync::Arc;

use super::{Member, PeerTable};

impl PeerTable {
    /// Returns the names of the present daemons in order: those that are ready
    /// or suspect, including this one unless it shuts down. In contrast to
    /// [`live`](Self::live), members that only this daemon can't reach are
    /// among them.
    #[must_use]
    pub fn present_names(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> =
            self.present().map(|member| Arc::clone(&member.name)).collect();
        names.sort();
        names
    }

    /// Iterates over the members of
    /// [`present_names`](Self::present_names).
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        let local = Some(&self.local);
        let peers = self.peers.values().map(|peer| &peer.member);
        local.into_iter().chain(peers).filter(|member| member.is_assignable())
    }

    /// Returns the version of [`present_names`](Self::present_names), to
    /// detect that a copy is stale.
    #[must_use]
    pub fn present_version(&self) -> u64 {
        self.present_version
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use crate::membership::MemberState;

    use super::{super::ISOLATION_TIMEOUT, *};

    fn member(name: &str, zone: &str) -> Member {
        let address = "127.0.0.1:1".parse().unwrap();
        Member::new(name, zone, address, 1)
    }

    /// Guards against members that a daemon drops from the shared limits of
    /// servers only because it can't reach them, and against a stale copy of
    /// the list.
    #[test]
    fn present_names_regardless_of_reachability() {
        let now = Instant::now();
        let mut table = PeerTable::new(member("b", "z"));
        let version = table.present_version();
        table.merge(now, &[member("a", "z"), member("c", "y")]);
        assert_ne!(table.present_version(), version);
        let names = |table: &PeerTable| table.present_names().join(" ");
        assert_eq!(names(&table), "a b c");
        let version = table.present_version();
        table.tick(now);
        table.mark_unreachable(now, "c");
        let later = now + ISOLATION_TIMEOUT;
        assert!(table.is_isolated(later));
        let mut suspect = member("a", "z");
        table.mark_suspect(later, &suspect);
        assert_eq!(names(&table), "a b c");
        assert_eq!(table.present_version(), version);
        suspect.state = MemberState::Suspect;
        table.mark_dead(later, &suspect);
        assert_eq!(names(&table), "b c");
        assert_ne!(table.present_version(), version);
        let version = table.present_version();
        table.leave();
        assert_eq!(names(&table), "c");
        assert_ne!(table.present_version(), version);
    }
}
