//! The rules by which evidence is merged.

use {
    crate::member::{BoxKey, Link, Listing, Member, Standing},
    gingerpier_base::{
        Instant, Name,
        place::{Incarnation, Role, Zone},
    },
    std::collections::BTreeMap,
};

/// Milliseconds after which a fall of a link no longer counts.
const FALLS_FORGOTTEN_MILLIS: u64 = 60_000;
/// Milliseconds of distrust after the second fall; doubled with each further one.
const DISTRUST_MILLIS: u64 = 500;
/// Falls after which distrust no longer grows.
const MAX_FALLS: u32 = 7;

/// Boxes known to one process.
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<BoxKey, Member>,
    next: u32,
}

impl Membership {
    /// Boxes with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (BoxKey, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// Box of `key`, where it is still known.
    pub fn get(&self, key: BoxKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Box called `name`.
    pub fn named(&self, name: &Name) -> Option<BoxKey> {
        self.iter()
            .find(|(_, member)| member.name == *name)
            .map(|(key, _)| key)
    }

    /// Takes the box list's word on a box.
    pub fn listed(
        &mut self,
        name: &Name,
        role: Role,
        zone: &Zone,
        address: &str,
        listing: Listing,
    ) -> BoxKey {
        let key = self
            .named(name)
            .unwrap_or_else(|| self.add(name, role, zone, address));
        if let Some(member) = self.members.get_mut(&key) {
            // The list never takes back that a box leaves; only its absence ends it.
            if member.listing != Listing::Leaving || listing == Listing::Absent {
                member.listing = listing;
            }
        }
        key
    }

    /// Takes a whole box list: boxes not in it are absent from it.
    pub fn list_ended(&mut self, listed: &[BoxKey]) {
        for (key, member) in &mut self.members {
            if !listed.contains(key) {
                member.listing = Listing::Absent;
            }
        }
    }

    /// Notes that the box answers, as the run `incarnation` of its process.
    pub fn link_up(&mut self, key: BoxKey, incarnation: Incarnation, now: Instant) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        if member.leaving.is_some_and(|leaving| leaving != incarnation) {
            member.leaving = None;
        }
        let trusted_from = now.after_millis(member.distrust_millis(now));
        member.link = Link::Up {
            incarnation,
            trusted_from,
        };
    }

    /// Notes that the box no longer answers.
    pub fn link_down(&mut self, key: BoxKey, now: Instant) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        if member.link == Link::Down {
            return;
        }
        let long_ago = now.millis_since(member.fell_at) > FALLS_FORGOTTEN_MILLIS;
        member.falls = if long_ago {
            1
        } else {
            (member.falls + 1).min(MAX_FALLS)
        };
        member.fell_at = now;
        member.link = Link::Down;
    }

    /// Notes that a run of the box's process leaves, whoever says so.
    pub fn leaving(&mut self, key: BoxKey, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(&key) {
            member.leaving = Some(incarnation);
        }
    }

    /// What the evidence on a box comes to.
    pub fn standing(&self, key: BoxKey, now: Instant) -> Standing {
        self.members
            .get(&key)
            .map_or(Standing::Gone, |member| member.standing(now))
    }

    /// Forgets boxes that are gone, and names them.
    pub fn sweep(&mut self, now: Instant) -> Vec<Member> {
        let gone = |member: &Member| member.standing(now) == Standing::Gone;
        let keys: Vec<BoxKey> = self
            .iter()
            .filter(|(_, member)| gone(member))
            .map(|(key, _)| key)
            .collect();
        keys.into_iter()
            .filter_map(|key| self.members.remove(&key))
            .collect()
    }

    fn add(&mut self, name: &Name, role: Role, zone: &Zone, address: &str) -> BoxKey {
        let key = BoxKey(self.next);
        self.next += 1;
        let member = Member {
            name: name.clone(),
            role,
            zone: zone.clone(),
            address: address.to_owned(),
            listing: Listing::Absent,
            link: Link::Down,
            leaving: None,
            falls: 0,
            fell_at: Instant::default(),
        };
        self.members.insert(key, member);
        key
    }
}

impl Member {
    /// What the evidence comes to.
    pub fn standing(&self, now: Instant) -> Standing {
        match (self.link, self.listing) {
            (Link::Down, Listing::Absent) => Standing::Gone,
            (_, Listing::Leaving) => Standing::Leaving,
            (Link::Down, Listing::Live) => Standing::Suspect,
            (
                Link::Up {
                    incarnation,
                    trusted_from,
                },
                _,
            ) => {
                if self.leaving == Some(incarnation) {
                    Standing::Leaving
                } else if trusted_from.has_passed(now) {
                    Standing::Alive
                } else {
                    Standing::Suspect
                }
            }
        }
    }

    /// Run of the process at the other end of the link.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        match self.link {
            Link::Up { incarnation, .. } => Some(incarnation),
            Link::Down => None,
        }
    }

    const fn distrust_millis(&self, now: Instant) -> u64 {
        let recent = now.millis_since(self.fell_at) <= FALLS_FORGOTTEN_MILLIS;
        if self.falls < 2 || !recent {
            0
        } else {
            DISTRUST_MILLIS << (self.falls - 2)
        }
    }
}
