//! Who plans, and how plans are put into force.
//!
//! One entry box at a time plans, under a lease in the key-value service, so that work is not
//! done twice. Safety does not rest on the lease: every plan is a compare-and-swap on the head,
//! and on the planner's key as its fence, so that a planner that was paused past its lease writes
//! nothing.

use {
    super::{
        Entry,
        store::{Fence, Verdict},
    },
    crate::clock,
    gingerpier_base::order,
    gingerpier_catalogue::{Command, Entry as LogEntry, Identity},
    gingerpier_membership::Liveness,
    gingerpier_rollout::{EngineState, Planner, planner::Policy},
    gingerpier_services::{Error, key_value::Change},
    gingerpier_wire::frame::Phase,
    std::rc::Rc,
};

/// Seconds of the planner's lease.
const LEASE_SECONDS: u64 = 6;
/// Milliseconds between extensions of the lease, and between tries to get it.
const LEASE_MILLIS: u64 = 2_000;
/// Milliseconds between looks at what is to be planned.
const LOOK_MILLIS: u64 = 200;
/// Entry boxes that try to get the lease, by their rank.
const CANDIDATES: usize = 2;
/// What candidates are ranked for.
const SUBJECT: &str = "planner";

#[derive(Debug, Clone, Copy)]
struct Held {
    lease: u64,
    fence: Fence,
}

impl Entry {
    /// Plans for as long as the process runs, whenever the lease is held here.
    pub fn spawn_planner(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                clock::pause(LEASE_MILLIS / 2).await;
                if self.process.is_leaving() || self.rank(order::hash(SUBJECT), None) >= CANDIDATES
                {
                    continue;
                }
                match self.take_lease().await {
                    Ok(Some(held)) => self.plan_while(held).await,
                    Ok(None) => {}
                    Err(error) => tracing::debug!(event = "no_lease", %error),
                }
                clock::pause(LEASE_MILLIS / 2).await;
            }
        });
    }

    async fn take_lease(&self) -> Result<Option<Held>, Error> {
        let store = &self.store;
        let key = store.key(SUBJECT);
        self.process.metrics.key_value_calls.inc();
        if store
            .note(store.client().get(&key, clock::now()).await)?
            .is_some()
        {
            return Ok(None);
        }
        self.process.metrics.key_value_calls.inc_by(3);
        let lease = store
            .client()
            .grant_lease(LEASE_SECONDS, clock::now())
            .await;
        let lease = store.note(lease)?;
        let name = self.process.hello.name.to_string().into_bytes();
        let change = Change::default()
            .guard(&key, 0)
            .put_leased(&key, name.clone(), lease);
        // A lost answer is settled by the read: only this lease's key is ours.
        let _ = store.client().commit(&change, clock::now()).await;
        let read = store.note(store.client().get(&key, clock::now()).await)?;
        let own = read.filter(|item| item.value == name);
        Ok(own.map(|item| Held {
            lease,
            fence: Fence {
                changed: item.changed,
            },
        }))
    }

    async fn plan_while(&self, held: Held) {
        tracing::info!(event = "planning", fence = held.fence.changed);
        let mut planner = Planner::new(Policy::default());
        let mut keep_at = clock::now().after_millis(LEASE_MILLIS);
        loop {
            if self.process.is_leaving() {
                return;
            }
            if keep_at.has_passed(clock::now()) {
                keep_at = clock::now().after_millis(LEASE_MILLIS);
                self.process.metrics.key_value_calls.inc();
                let kept = self
                    .store
                    .client()
                    .keep_lease(held.lease, clock::now())
                    .await;
                // While the service is down nothing can be planned; the fence stands or falls
                // with the key, and the next write finds out.
                if let Ok(false) = self.store.note(kept) {
                    tracing::warn!(event = "lease_lapsed", fence = held.fence.changed);
                    return;
                }
            }
            if !self.plan_once(&mut planner, held.fence).await {
                tracing::warn!(event = "planner_fenced", fence = held.fence.changed);
                return;
            }
            clock::pause(LOOK_MILLIS).await;
        }
    }

    /// Plans once; false where the fence has passed to another.
    async fn plan_once(&self, planner: &mut Planner, fence: Fence) -> bool {
        let catalogue = self.process.catalogue_state.catalogue();
        let commands = planner.plan(&catalogue, &self.engine_states(), clock::now());
        if commands.is_empty() {
            return true;
        }
        let entry = LogEntry {
            identity: Identity::from_u128(fastrand::u128(..)),
            author: format!("planner/{}", self.process.hello.name),
            stamp: clock::stamp(),
            text: describe(&commands),
            commands,
        };
        match self.submit(entry, Some(fence)).await {
            Verdict::Unavailable(why) => why != "fenced",
            Verdict::Refused(refusal) => {
                tracing::debug!(event = "plan_refused", %refusal);
                true
            }
            Verdict::Accepted { .. } | Verdict::Unknown(_) => true,
        }
    }

    fn engine_states(&self) -> Vec<EngineState> {
        let fleet = self.fleet.borrow();
        let engines = fleet.engines().filter(|(_, engine)| !engine.status.plain);
        let state = |engine: &super::fleet::Engine| EngineState {
            engine: engine.status.name.clone(),
            server: engine.server_name.clone(),
            zone: engine.zone.name.clone(),
            kind: engine.status.kind.clone(),
            is_usable: engine.usable
                && self.standing(engine.server) == Liveness::Alive
                && engine.status.phase != Phase::Down,
            loaded_weights: engine.status.weights,
            loaded_adapters: engine.status.adapters.clone(),
        };
        engines.map(|(_, engine)| state(engine)).collect()
    }
}

fn describe(commands: &[Command]) -> String {
    let words = commands.iter().map(|command| match command {
        Command::Assign {
            engine,
            model,
            version,
            ..
        } => {
            format!("assign {model}@{version} to {engine}")
        }
        Command::Unassign { engine } => format!("unassign {engine}"),
        Command::Advance {
            model,
            version,
            reached,
        } => {
            format!("advance {model} to {version}, step {}", reached + 1)
        }
        other => format!("{other:?}"),
    });
    words.collect::<Vec<_>>().join("; ")
}
