//! Who watches the store, and whom the others ask.
//!
//! A configuration may be large, the store may be a region away, and it counts each call. So some
//! gateways of each zone watch the store, and the others are told by them. Who watches is a
//! rendezvous order of the zone's members: no talk is needed, and where views differ, some more
//! watch. A member that does not answer, or has not heard from the store lately, is passed over
//! for a while; whoever notices asks the store itself at once.

use {
    gingerpier_base::{Instant, order},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Members of a zone that watch the store.
pub const WATCHERS: usize = 2;

/// Milliseconds since the store's last word above which a member's word does not count.
pub const MOST_AGE_MILLIS: u64 = 1_200;

/// Milliseconds for which a member that failed is passed over.
const SUSPENDED_MILLIS: u64 = 3_000;

/// Whom to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The store.
    Store,
    /// A member that watches the store.
    Member(SocketAddr),
}

/// A member that failed, and until when it is passed over.
#[derive(Debug, Clone, Copy)]
struct Suspended {
    member: SocketAddr,
    until: Instant,
}

/// Who of `own` and the `members` of its zone watch the store.
fn watchers(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<SocketAddr> = members.filter(|member| *member != own).collect();
    ranked.push(own);
    ranked.sort_by_key(|member| (Reverse(order::hash(member)), *member));
    ranked.truncate(WATCHERS);
    ranked
}

/// True where `own` is among those of its zone that watch the store; `members` are the others that
/// are known.
pub fn is_watcher(own: SocketAddr, members: impl Iterator<Item = SocketAddr>) -> bool {
    watchers(own, members).contains(&own)
}

/// What one member of a zone decides.
#[derive(Debug, Clone)]
pub struct Watching {
    own: SocketAddr,
    suspended: Vec<Suspended>,
    /// True where the store has to be asked before any member.
    is_behind: bool,
}

impl Watching {
    /// State of the member `own`, which knows nothing yet.
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
            suspended: Vec::new(),
            is_behind: true,
        }
    }

    /// Whom to ask next; `members` are those of the zone that are known.
    pub fn next(&mut self, members: impl Iterator<Item = SocketAddr>, now: Instant) -> Step {
        self.suspended.retain(|one| !one.until.has_passed(now));
        if std::mem::take(&mut self.is_behind) {
            return Step::Store;
        }
        let watchers = watchers(self.own, members);
        if watchers.contains(&self.own) {
            return Step::Store;
        }
        let is_trusted = |member: &&SocketAddr| {
            let mut suspended = self.suspended.iter();
            !suspended.any(|one| one.member == **member)
        };
        // Members spread over the watchers.
        let first = order::hash(&self.own) as usize % watchers.len();
        let turned = watchers[first..].iter().chain(&watchers[..first]);
        turned
            .filter(is_trusted)
            .map(|member| Step::Member(*member))
            .next()
            .unwrap_or(Step::Store)
    }

    /// Notes that `member` did not answer, or that its word was too old.
    pub fn note_failure(&mut self, member: SocketAddr, now: Instant) {
        let until = now.after_millis(SUSPENDED_MILLIS);
        self.suspended.push(Suspended { member, until });
        self.is_behind = true;
    }
}
