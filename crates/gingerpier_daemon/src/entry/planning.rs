//! Election of the planner, and the submission of its plans.
//!
//! The entry box that holds a lease in the key-value service plans; the lease only avoids duplicate
//! work. Safety comes from the writes: each is a compare-and-swap on the head and on the planner's
//! key as a fence, so that a planner whose lease has expired can't write.

use {
    super::{
        Entry,
        store::{Fence, SubmitResult},
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

/// Duration of the planner's lease.
const LEASE_SECONDS: u64 = 6;
/// Interval between renewals of the lease, and between attempts to acquire it.
const LEASE_RENEWAL_MILLIS: u64 = 2_000;
/// Interval between plans.
const PLAN_INTERVAL_MILLIS: u64 = 200;
/// Number of entry boxes that try to acquire the lease, by rank.
const MAX_CANDIDATES: usize = 2;
/// Key of the lease; also the subject of the candidates' rendezvous order.
const PLANNER_KEY: &str = "planner";

#[derive(Debug, Clone, Copy)]
/// Lease held by this entry box, and the fence for its writes.
struct PlannerLease {
    lease: u64,
    fence: Fence,
}

impl Entry {
    /// Spawns the task that competes for the lease and plans while it holds it.
    pub fn spawn_planner(self: Rc<Self>) {
        actix_rt::spawn(async move {
            loop {
                clock::pause(LEASE_RENEWAL_MILLIS / 2).await;
                if self.process.is_leaving()
                    || self.rank(order::hash(PLANNER_KEY), None) >= MAX_CANDIDATES
                {
                    continue;
                }
                match self.acquire_lease().await {
                    Ok(Some(planner_lease)) => self.run_planner(planner_lease).await,
                    Ok(None) => {}
                    Err(error) => tracing::debug!(event = "no_lease", %error),
                }
                clock::pause(LEASE_RENEWAL_MILLIS / 2).await;
            }
        });
    }

    async fn acquire_lease(&self) -> Result<Option<PlannerLease>, Error> {
        let store = &self.store;
        let key = store.key(PLANNER_KEY);
        self.process.metrics.key_value_calls.inc();
        if store
            .record_result(store.client().get(&key, clock::now()).await)?
            .is_some()
        {
            return Ok(None);
        }
        self.process.metrics.key_value_calls.inc_by(3);
        let lease = store
            .client()
            .grant_lease(LEASE_SECONDS, clock::now())
            .await;
        let lease = store.record_result(lease)?;
        let name = self.process.hello.name.to_string().into_bytes();
        let change = Change::default()
            .guard(&key, 0)
            .put_leased(&key, name.clone(), lease);
        // The read decides if the response of the commit is lost: only this lease's holder writes
        // this value.
        let _ = store.client().commit(&change, clock::now()).await;
        let stored = store.record_result(store.client().get(&key, clock::now()).await)?;
        let own_item = stored.filter(|item| item.value == name);
        Ok(own_item.map(|item| PlannerLease {
            lease,
            fence: Fence {
                changed: item.changed,
            },
        }))
    }

    async fn run_planner(&self, planner_lease: PlannerLease) {
        tracing::info!(event = "planning", fence = planner_lease.fence.changed);
        let mut planner = Planner::new(Policy::default());
        let mut renew_at = clock::now().after_millis(LEASE_RENEWAL_MILLIS);
        loop {
            if self.process.is_leaving() {
                return;
            }
            if renew_at.has_passed(clock::now()) {
                renew_at = clock::now().after_millis(LEASE_RENEWAL_MILLIS);
                self.process.metrics.key_value_calls.inc();
                let renewed = self
                    .store
                    .client()
                    .renew_lease(planner_lease.lease, clock::now())
                    .await;
                // Planning continues if the service is unreachable; the fence of the next write
                // decides.
                if let Ok(false) = self.store.record_result(renewed) {
                    tracing::warn!(event = "lease_lapsed", fence = planner_lease.fence.changed);
                    return;
                }
            }
            if !self.plan_once(&mut planner, planner_lease.fence).await {
                tracing::warn!(
                    event = "planner_fenced",
                    fence = planner_lease.fence.changed
                );
                return;
            }
            clock::pause(PLAN_INTERVAL_MILLIS).await;
        }
    }

    /// Submits one plan; returns false if another planner holds the fence.
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
            SubmitResult::Unavailable(why) => why != "fenced",
            SubmitResult::Refused(refusal) => {
                tracing::debug!(event = "plan_refused", %refusal);
                true
            }
            SubmitResult::Accepted { .. } | SubmitResult::Unknown(_) => true,
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
            is_usable: engine.is_usable
                && self.liveness(engine.server) == Liveness::Alive
                && engine.status.phase != Phase::Down,
            loaded_weights: engine.status.weights,
            loaded_adapters: engine.status.adapters.clone(),
        };
        engines.map(|(_, engine)| state(engine)).collect()
    }
}

fn describe(commands: &[Command]) -> String {
    let descriptions = commands.iter().map(|command| match command {
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
    descriptions.collect::<Vec<_>>().join("; ")
}
