//! One daemon's part of the limit of one server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    fleet::token_bucket::{BucketSize, TokenBucket},
    rendezvous,
};

use super::{LimitMembers, LimitTime};

/// How long a set of daemons may send to a limited server.
pub const TURN: Duration = Duration::from_secs(4);

/// Turns that are searched for the next one of this daemon.
const MAX_SCANNED_TURNS: u64 = 8;

/// The part of a limit that the holders of a turn use together, in addition to
/// the token that each has when it begins.
const USED_FRACTION: f64 = 0.7;

/// The part of a limit that a single caller uses. Two of them, for a moment,
/// stay below one and a half times the limit.
const EXCLUSIVE_FRACTION: f64 = 0.7;

/// A lower limit is used at this rate, since only responses tell that a limit
/// has ended.
const MIN_LIMIT_PER_S: f64 = 0.2;

/// Below this limit, a turn has one holder.
const SINGLE_HOLDER_LIMIT_PER_S: f64 = 0.5;

/// Holders of a turn in addition to the limit per second, so that a holder
/// without requests leaves some of a small limit to others.
const EXTRA_HOLDERS: usize = 2;

/// The time at full rate for which unused tokens are kept.
const BURST: Duration = Duration::from_millis(250);

/// Returns the bucket of a daemon that may send at a rate.
fn bucket_size(rate_per_s: f64) -> BucketSize {
    let capacity = (rate_per_s * BURST.as_secs_f64()).max(1.0);
    BucketSize { rate_per_s, capacity }
}

fn exclusive_size(limit_per_s: f64) -> BucketSize {
    bucket_size(exclusive_rate_per_s(limit_per_s))
}

fn turn_size(limit_per_s: f64, holders: usize) -> BucketSize {
    let limit_per_s = limit_per_s.max(MIN_LIMIT_PER_S);
    bucket_size(USED_FRACTION * limit_per_s / to_f64(holders.max(1)))
}

/// Returns the rate of a daemon that is the only caller of a server.
pub(super) fn exclusive_rate_per_s(limit_per_s: f64) -> f64 {
    EXCLUSIVE_FRACTION * limit_per_s.max(MIN_LIMIT_PER_S)
}

/// Returns the number of daemons that may send in a turn.
fn holder_count(limit_per_s: f64, members: usize) -> usize {
    if limit_per_s < SINGLE_HOLDER_LIMIT_PER_S {
        return members.min(1);
    }
    // OK because only the comparison with the number of members matters.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = limit_per_s as usize;
    whole.saturating_add(EXTRA_HOLDERS).min(members)
}

#[allow(clippy::cast_precision_loss)] // There are a few thousand members.
fn to_f64(n: usize) -> f64 {
    n as f64
}

/// The number of a turn since the Unix epoch.
fn epoch_of(unix_time: Duration) -> u64 {
    unix_time.as_secs() / TURN.as_secs()
}

/// The tokens that this daemon has left.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: TokenBucket,
    /// When a token was last taken.
    taken_at: Option<Instant>,
    /// The last turn in which it was used.
    epoch: Option<u64>,
}

impl Bucket {
    fn new(now: Instant) -> Bucket {
        Bucket { tokens: TokenBucket::new(now), taken_at: None, epoch: None }
    }

    /// Refills the bucket in a turn of this daemon.
    fn refill_in_turn(&mut self, now: Instant, epoch: u64, size: BucketSize) {
        let held_before = self.epoch.is_some_and(|last| {
            last == epoch || last.checked_add(1) == Some(epoch)
        });
        if !held_before {
            self.begin_turn(now);
        }
        self.epoch = Some(epoch);
        self.tokens.refill(now, size);
    }

    /// Sets the tokens for the first of consecutive turns. A daemon that took
    /// a token less than a turn ago gets no new one, since its clock has
    /// jumped.
    fn begin_turn(&mut self, now: Instant) {
        let took_recently = self
            .taken_at
            .is_some_and(|at| now.saturating_duration_since(at) < TURN);
        if !took_recently {
            self.tokens.tokens = 1.0;
        }
        self.tokens.refilled_at = now;
    }

    fn take(&mut self, now: Instant) -> bool {
        let taken = self.tokens.take();
        if taken {
            self.taken_at = Some(now);
        }
        taken
    }
}

/// What the turns of this daemon depend on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Basis {
    epoch: u64,
    version: u64,
    holders: usize,
}

/// The turns of this daemon, as of one basis.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    basis: Basis,
    holds: bool,
    /// The next turn that it holds, or the first one that wasn't searched;
    /// `None` until it is needed.
    next_epoch: Option<u64>,
}

/// This daemon's part of the limit of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turns {
    bucket: Option<Bucket>,
    schedule: Option<Schedule>,
}

impl Turns {
    /// Takes a token of a server that only this daemon calls.
    pub(super) fn take_exclusive(
        &mut self,
        at: LimitTime,
        limit_per_s: f64,
    ) -> bool {
        let size = exclusive_size(limit_per_s);
        let bucket = self.bucket.get_or_insert(Bucket::new(at.now));
        bucket.tokens.refill(at.now, size);
        bucket.take(at.now)
    }

    /// Returns when a server that only this daemon calls takes a request.
    pub(super) fn next_exclusive(
        &self,
        at: LimitTime,
        limit_per_s: f64,
    ) -> Instant {
        let size = exclusive_size(limit_per_s);
        let mut bucket = self.bucket.unwrap_or(Bucket::new(at.now));
        bucket.tokens.refill(at.now, size);
        if bucket.tokens.has_token() {
            return at.now;
        }
        at.now + size.wait_for(bucket.tokens.tokens)
    }

    /// Takes a token if this daemon holds the turn.
    pub(super) fn take_in_turn(
        &mut self,
        at: LimitTime,
        server: &str,
        limit_per_s: f64,
        members: &LimitMembers,
    ) -> bool {
        let epoch = epoch_of(at.unix_time);
        let holders = holder_count(limit_per_s, members.names.len());
        let schedule = self.schedule_of(epoch, holders, server, members);
        if !schedule.holds {
            return false;
        }
        let size = turn_size(limit_per_s, holders);
        let bucket = self.bucket.get_or_insert(Bucket::new(at.now));
        bucket.refill_in_turn(at.now, epoch, size);
        bucket.take(at.now)
    }

    /// Returns when this daemon is likely to have a token in one of its turns.
    pub(super) fn next_in_turns(
        &mut self,
        at: LimitTime,
        server: &str,
        limit_per_s: f64,
        members: &LimitMembers,
    ) -> Instant {
        let epoch = epoch_of(at.unix_time);
        let holders = holder_count(limit_per_s, members.names.len());
        let schedule = self.schedule_of(epoch, holders, server, members);
        let mut wait = Duration::ZERO;
        if schedule.holds {
            let size = turn_size(limit_per_s, holders);
            let mut bucket = self.bucket.unwrap_or(Bucket::new(at.now));
            bucket.refill_in_turn(at.now, epoch, size);
            if bucket.tokens.has_token() {
                return at.now;
            }
            wait = size.wait_for(bucket.tokens.tokens);
            if epoch_of(at.after(wait).unix_time) == epoch {
                return at.now + wait;
            }
        }
        let next_epoch = self.next_epoch(schedule.basis, server, members);
        let starts_in = (TURN
            * u32::try_from(next_epoch - epoch).unwrap_or(1))
        .saturating_sub(time_into_turn(at.unix_time));
        // A bucket that keeps its state from this turn may still be empty.
        if next_epoch == epoch + 1 {
            return at.now + starts_in.max(wait);
        }
        at.now + starts_in
    }

    /// Returns whether this daemon holds a turn, and remembers it.
    fn schedule_of(
        &mut self,
        epoch: u64,
        holders: usize,
        server: &str,
        members: &LimitMembers,
    ) -> Schedule {
        let basis = Basis { epoch, version: members.version, holders };
        if let Some(schedule) = self.schedule
            && schedule.basis == basis
        {
            return schedule;
        }
        let holds = holds_turn(basis, server, members);
        let schedule = Schedule { basis, holds, next_epoch: None };
        self.schedule = Some(schedule);
        schedule
    }

    fn next_epoch(
        &mut self,
        basis: Basis,
        server: &str,
        members: &LimitMembers,
    ) -> u64 {
        if let Some(schedule) = self.schedule
            && let Some(next_epoch) = schedule.next_epoch
        {
            return next_epoch;
        }
        let first = basis.epoch + 1;
        let end = first + MAX_SCANNED_TURNS;
        let next_epoch = (first..end)
            .find(|&epoch| {
                holds_turn(Basis { epoch, ..basis }, server, members)
            })
            .unwrap_or(end);
        if let Some(schedule) = &mut self.schedule {
            schedule.next_epoch = Some(next_epoch);
        }
        next_epoch
    }
}

/// Returns the daemons that hold the present turn at a server.
pub(super) fn holders<'a>(
    at: LimitTime,
    server: &str,
    limit_per_s: f64,
    members: &'a LimitMembers,
) -> Vec<&'a Arc<str>> {
    let names: &[Arc<str>] = &members.names;
    let holders = holder_count(limit_per_s, names.len());
    let key = turn_key(server, epoch_of(at.unix_time));
    rendezvous::top(&key, names, holders)
}

fn turn_key(server: &str, epoch: u64) -> String {
    format!("{server}/{epoch}")
}

fn time_into_turn(unix_time: Duration) -> Duration {
    unix_time.saturating_sub(TURN * turn_index(unix_time))
}

fn turn_index(unix_time: Duration) -> u32 {
    u32::try_from(epoch_of(unix_time)).unwrap_or(u32::MAX)
}

fn holds_turn(basis: Basis, server: &str, members: &LimitMembers) -> bool {
    let key = turn_key(server, basis.epoch);
    let names: &[Arc<str>] = &members.names;
    rendezvous::is_in_top(&key, names, basis.holders, &members.local)
}
