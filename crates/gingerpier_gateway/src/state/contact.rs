//! How fresh the word of the store is, and whether the store or this process was away.

use {
    super::State,
    crate::clock,
    gingerpier_base::Instant,
    gingerpier_serving::{
        mirror::Revision,
        naming::Told,
        outage::{Outage, Return},
    },
};

/// Milliseconds without word from the store after which peers are asked.
const CONTACT_MILLIS: u64 = 900;

/// Milliseconds between two notes that the process runs above which it stood still: far above any work of its own,
/// and below the 3 s in which the bound of named weights counts back from hearing far enough.
const STANDSTILL_MILLIS: u64 = 2_000;

impl State {
    /// Notes that the process runs; gives from when on it has done so without a standstill.
    pub fn note_running(&self) -> Instant {
        let now = clock::now();
        let millis = now.millis_since(self.ran_at.replace(now));
        if millis > STANDSTILL_MILLIS {
            tracing::warn!(millis, "process stood still");
            self.running_since.set(now);
        }
        self.running_since.get()
    }

    /// Notes a word of the store, as old as `age` milliseconds where another gateway passed it on.
    pub fn note_contact(&self, age: u64) {
        let at = Instant::from_millis(clock::now().as_millis().saturating_sub(age));
        let last = self.contact.get();
        self.contact.set(last.max(Some(at)));
        if last.is_none() {
            tracing::info!(store = %self.settings.store, age, "store reached");
        }
    }

    /// Notes that the store did not answer as it should.
    pub fn note_store_failure(&self, what: &dyn std::fmt::Display) {
        self.with_outage(|outage| outage.note_failure(clock::now()));
        let age = self.contact_age();
        tracing::warn!(store = %self.settings.store, cause = %what, ?age, "store does not answer");
    }

    /// Notes an answer of the store, which is at `revision`.
    pub fn note_store_answer(&self, revision: Revision) {
        let now = clock::now();
        let known = self.last_return();
        self.with_outage(|outage| outage.note_answer(revision, now));
        if let Some(new) = self.last_return().filter(|new| Some(*new) != known) {
            let millis = new.until.millis_since(now);
            tracing::info!(
                revision = revision.0,
                millis,
                "store has returned, lapsed engines are kept"
            );
        }
    }

    /// Notes what another gateway told of the store: when it last answered, and its last return.
    pub fn note_told_outage(&self, answered: Option<Instant>, last_return: Option<Return>) {
        let now = clock::now();
        self.with_outage(|outage| {
            // Whether the store was away is judged by what was known before.
            if let Some(last_return) = last_return {
                outage.note_told(last_return, now);
            }
            if let Some(answered) = answered {
                outage.note_word(answered);
            }
        });
    }

    /// The store's last return, while entries that lapsed before it may come back.
    pub fn last_return(&self) -> Option<Return> {
        self.outage.get().last_return(clock::now())
    }

    fn with_outage(&self, change: impl FnOnce(&mut Outage)) {
        let mut outage = self.outage.get();
        change(&mut outage);
        self.outage.set(outage);
    }

    /// Milliseconds since the store's last word.
    pub fn contact_age(&self) -> Option<u64> {
        // Bytes alone say nothing before anything is known.
        let contact = self.contact.get()?;
        let last = self
            .store_heard
            .get()
            .map_or(contact, |heard| heard.max(contact));
        Some(clock::now().millis_since(last))
    }

    /// Milliseconds since the store's last word, or since this process began to ask for a first one.
    pub fn word_age(&self) -> u64 {
        let heard = self.store_heard.get().max(self.contact.get());
        let last = heard.unwrap_or(self.started).max(self.started);
        clock::now().millis_since(last)
    }

    /// True where the store has been silent for too long.
    pub fn lacks_contact(&self) -> bool {
        self.contact_age().is_none_or(|age| age > CONTACT_MILLIS)
    }

    /// Notes that the mirror holds all that the store held at `asked`.
    pub fn note_fresh(&self, asked: Instant) {
        let mut fresh = self.fresh.get();
        fresh.note_answer(asked);
        self.fresh.set(fresh);
    }

    /// Notes how fresh another gateway's answer was, to a question that was sent at `asked` and that
    /// it held for `held` milliseconds; nothing where it does not tell.
    pub fn note_told(&self, asked: Instant, fresh_age: Option<u64>, held: u64) {
        let Some(age_millis) = fresh_age else { return };
        let told = Told {
            held_millis: held,
            age_millis,
        };
        let mut fresh = self.fresh.get();
        fresh.note_told(asked, told, clock::now());
        self.fresh.set(fresh);
    }

    /// Milliseconds since the mirror certainly held all that the store held.
    pub fn fresh_age(&self) -> Option<u64> {
        self.fresh.get().age(clock::now())
    }
}
