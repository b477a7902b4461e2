//! Derives the liveness of each box from the box list and this process's links.

use {
    crate::member::{BoxKey, Link, Listing, Liveness, Member},
    gingerpier_base::{
        Instant, Name,
        place::{Incarnation, Role, Zone},
    },
    std::collections::BTreeMap,
};

/// Time in milliseconds after which a disconnect is no longer counted.
const DISCONNECT_WINDOW_MILLIS: u64 = 60_000;
/// Reconnect backoff in milliseconds after the second disconnect; doubles with each further one.
const RECONNECT_BACKOFF_MILLIS: u64 = 500;
/// Maximum number of disconnects that are counted.
const MAX_DISCONNECTS: u32 = 7;

/// Boxes known to one process.
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<BoxKey, Member>,
    next_key: u32,
}

impl Membership {
    /// Known boxes in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (BoxKey, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// Box with the given key; `None` once removed.
    pub fn get(&self, key: BoxKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Key of the box with the given name.
    pub fn key_of(&self, name: &Name) -> Option<BoxKey> {
        self.iter()
            .find(|(_, member)| member.name == *name)
            .map(|(key, _)| key)
    }

    /// Updates the listing of a box, and adds the box if it is new.
    pub fn record_listing(
        &mut self,
        name: &Name,
        role: Role,
        zone: &Zone,
        address: &str,
        listing: Listing,
    ) -> BoxKey {
        let key = self
            .key_of(name)
            .unwrap_or_else(|| self.add(name, role, zone, address));
        if let Some(member) = self.members.get_mut(&key) {
            // Once listed as leaving, a box stays so until it is absent from the list.
            if member.listing != Listing::Leaving || listing == Listing::Absent {
                member.listing = listing;
            }
        }
        key
    }

    /// Marks all boxes as absent that are not in `listed`, the keys of a complete box list.
    pub fn record_list_end(&mut self, listed: &[BoxKey]) {
        for (key, member) in &mut self.members {
            if !listed.contains(key) {
                member.listing = Listing::Absent;
            }
        }
    }

    /// Records that the link to a box is up, and the run `incarnation` of its process.
    pub fn record_link_up(&mut self, key: BoxKey, incarnation: Incarnation, now: Instant) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        if member.leaving.is_some_and(|leaving| leaving != incarnation) {
            member.leaving = None;
        }
        let usable_from = now.after_millis(member.reconnect_backoff_millis(now));
        member.link = Link::Up {
            incarnation,
            usable_from,
        };
    }

    /// Records that the link to a box is down.
    pub fn record_link_down(&mut self, key: BoxKey, now: Instant) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        if member.link == Link::Down {
            return;
        }
        let is_outside_window = now.millis_since(member.disconnected_at) > DISCONNECT_WINDOW_MILLIS;
        member.disconnects = if is_outside_window {
            1
        } else {
            (member.disconnects + 1).min(MAX_DISCONNECTS)
        };
        member.disconnected_at = now;
        member.link = Link::Down;
    }

    /// Records that the run `incarnation` of a box's process is shutting down.
    pub fn record_leaving(&mut self, key: BoxKey, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(&key) {
            member.leaving = Some(incarnation);
        }
    }

    /// Liveness of a box; [`Liveness::Gone`] if the key is not known.
    pub fn liveness(&self, key: BoxKey, now: Instant) -> Liveness {
        self.members
            .get(&key)
            .map_or(Liveness::Gone, |member| member.liveness(now))
    }

    /// Removes boxes that are gone, and returns them.
    pub fn remove_gone(&mut self, now: Instant) -> Vec<Member> {
        let is_gone = |member: &Member| member.liveness(now) == Liveness::Gone;
        let keys: Vec<BoxKey> = self
            .iter()
            .filter(|(_, member)| is_gone(member))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter()
            .filter_map(|key| self.members.remove(&key))
            .collect()
    }

    fn add(&mut self, name: &Name, role: Role, zone: &Zone, address: &str) -> BoxKey {
        let key = BoxKey(self.next_key);
        self.next_key += 1;
        let member = Member {
            name: name.clone(),
            role,
            zone: zone.clone(),
            address: address.to_owned(),
            listing: Listing::Absent,
            link: Link::Down,
            leaving: None,
            disconnects: 0,
            disconnected_at: Instant::default(),
        };
        self.members.insert(key, member);
        key
    }
}

impl Member {
    /// Liveness at `now`.
    pub fn liveness(&self, now: Instant) -> Liveness {
        match (self.link, self.listing) {
            (Link::Down, Listing::Absent) => Liveness::Gone,
            (_, Listing::Leaving) => Liveness::Leaving,
            (Link::Down, Listing::Live) => Liveness::Suspect,
            (
                Link::Up {
                    incarnation,
                    usable_from,
                },
                _,
            ) => {
                if self.leaving == Some(incarnation) {
                    Liveness::Leaving
                } else if usable_from.has_passed(now) {
                    Liveness::Alive
                } else {
                    Liveness::Suspect
                }
            }
        }
    }

    /// Process run at the other end of the link; `None` while the link is down.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        match self.link {
            Link::Up { incarnation, .. } => Some(incarnation),
            Link::Down => None,
        }
    }

    const fn reconnect_backoff_millis(&self, now: Instant) -> u64 {
        let is_recent = now.millis_since(self.disconnected_at) <= DISCONNECT_WINDOW_MILLIS;
        if self.disconnects < 2 || !is_recent {
            0
        } else {
            RECONNECT_BACKOFF_MILLIS << (self.disconnects - 2)
        }
    }
}
