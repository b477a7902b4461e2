//! Tracking of requests, and of parts of prompts, that are suspected of crashing engines, and its
//! replication between gateways.
//!
//! A crash is announced to all gateways at once and repeated twice, as datagrams may be lost. Large
//! deployments send it to two gateways of each other zone, which forward it. Gateways also exchange
//! digests of the more serious cases each second, from which one that started or was unreachable
//! catches up.

use {
    crate::{
        clock,
        message::{
            self, CompletionUpdate, CrashUpdate, Datagram, DismissalUpdate, Suspects as Message,
            TrialUpdate,
        },
        metrics::MessageKind,
        state::State,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        fingerprint::Fingerprint,
        report::Version,
        suspects::{Case, Crash, Incarnation, ReportOutcome, Status, Suspects},
        trials::{Trial, Trials},
    },
    std::{
        cell::RefCell,
        collections::{BTreeSet, VecDeque},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{net::UdpSocket, sync::Notify},
};

/// Time for which updates are batched: the requests of one engine notice its crash within a round
/// trip.
const BATCH_MILLIS: u64 = 2;

/// Delays after which a crash report is repeated.
const REPEAT_DELAYS_MILLIS: [u64; 2] = [100, 500];

/// Interval between digests.
const DIGEST_INTERVAL_MILLIS: u64 = 1_000;

/// Interval between digests after process start, and how long it applies.
const STARTUP_DIGEST_INTERVAL_MILLIS: u64 = 200;
const STARTUP_MILLIS: u64 = 4_000;

/// Most gateways that are all sent updates directly.
const MAX_DIRECT_GATEWAYS: u32 = 64;

/// Gateways of each other zone that are sent updates in larger deployments.
const RECEIVERS_PER_ZONE: usize = 2;

/// Entries in one datagram, of about 45 bytes each.
const MAX_ENTRIES: usize = 24;

/// Most datagrams in response to one digest.
const MAX_RESPONSES: usize = 8;

/// Updates that wait to be sent.
#[derive(Default)]
struct Outbox {
    crashes: Vec<Crash>,
    completions: Vec<(Fingerprint, Version)>,
    dismissals: Vec<DismissalUpdate>,
    trial_updates: Vec<TrialUpdate>,
    repeats: VecDeque<(Instant, Vec<Crash>)>,
}

/// A gateway's view of requests that are suspected of crashing engines.
#[derive(Default)]
pub struct SuspectState {
    /// Suspected requests and their crashes.
    pub suspects: RefCell<Suspects>,
    /// Trials that are running on any gateway.
    pub trials: RefCell<Trials>,
    /// Hashes of the holds and dismissals that the store has.
    pub kept_entries: RefCell<BTreeSet<u64>>,
    /// Notified when another request is put on hold.
    pub request_held: Notify,
    outbox: RefCell<Outbox>,
    has_updates: Notify,
}

impl State {
    /// Records that an engine crashed while it ran a request of this gateway: for the request and
    /// for the parts that its prompt shares with others.
    pub fn record_crashes(&self, crashes: &[Crash]) {
        let engine_count = self.engine_count();
        let mut suspects = self.suspect_state.suspects.borrow_mut();
        // A refuted crash is not announced: most requests that many callers send are refuted soon.
        let is_new =
            |crash: &&Crash| suspects.record_crash(**crash, engine_count) == ReportOutcome::New;
        let new: Vec<Crash> = crashes.iter().filter(is_new).copied().collect();
        if !new.is_empty() {
            self.suspect_state.outbox.borrow_mut().crashes.extend(new);
            self.suspect_state.has_updates.notify_one();
        }
    }

    /// Puts requests on hold that have enough crashes against them.
    fn evaluate_suspects(&self, now: Instant) {
        let newly_held = self.suspect_state.suspects.borrow_mut().evaluate(now);
        if newly_held.is_empty() {
            return;
        }
        let suspects = self.suspect_state.suspects.borrow();
        for fingerprint in newly_held {
            let case = suspects.case(fingerprint);
            let engines = case.map(|case| self.engine_ids(case));
            match case.is_some_and(Case::is_part) {
                true => {
                    tracing::warn!(mark = %fingerprint, ?engines, "prompt part put on hold, as engines crashed while running requests with it")
                }
                false => {
                    tracing::warn!(mark = %fingerprint, ?engines, "request put on hold, as engines crashed while running it")
                }
            }
        }
        self.suspect_state.request_held.notify_waiters();
    }

    /// Ids of the engines that crashed under a request, as far as they are known here.
    fn engine_ids(&self, case: &Case) -> Vec<String> {
        let fleet = self.fleet.borrow();
        let crashed: BTreeSet<Incarnation> =
            case.crashes.iter().map(|crash| crash.engine).collect();
        let has_crashed = |engine: &&gingerpier_serving::engine::Engine| {
            crashed.contains(&Incarnation::of(&engine.record, engine.start_time()))
        };
        let engines = fleet.all_engines().filter(has_crashed);
        engines.map(|engine| engine.record.id.clone()).collect()
    }

    /// Records that weights of `version` completed a request, which refutes earlier crashes.
    pub fn record_completion(&self, fingerprint: Fingerprint, version: Version) {
        let refutes = self
            .suspect_state
            .suspects
            .borrow_mut()
            .record_completion(fingerprint, version);
        if refutes {
            tracing::info!(mark = %fingerprint, version = version.0, "request completed; it did not cause earlier engine crashes");
            self.announce_completion(fingerprint, version);
        }
    }

    /// Records the same for the parts that a request's prompt shares with others.
    pub fn record_part_completions(&self, parts: &[Fingerprint], version: Version) {
        for part in parts {
            let mut suspects = self.suspect_state.suspects.borrow_mut();
            if suspects.record_part_completion(*part, version) {
                drop(suspects);
                tracing::info!(mark = %part, version = version.0, "request with the prompt part completed; the part did not cause earlier engine crashes");
                self.announce_completion(*part, version);
            }
        }
    }

    fn announce_completion(&self, fingerprint: Fingerprint, version: Version) {
        let mut outbox = self.suspect_state.outbox.borrow_mut();
        outbox.completions.push((fingerprint, version));
        self.suspect_state.has_updates.notify_one();
    }

    /// Announces to other gateways that a trial of this gateway begins or is over.
    pub fn announce_trial(&self, trial: &Trial, is_over: bool) {
        let update = TrialUpdate::new(trial, is_over);
        self.suspect_state
            .outbox
            .borrow_mut()
            .trial_updates
            .push(update);
        self.suspect_state.has_updates.notify_one();
    }

    /// Dismisses the crashes of held requests whose fingerprints begin with `prefix`; returns the
    /// number of requests.
    pub fn dismiss_held(&self, prefix: &str) -> usize {
        let mut suspects = self.suspect_state.suspects.borrow_mut();
        let held = suspects
            .held()
            .filter(|(fingerprint, _)| fingerprint.has_prefix(prefix));
        let held: Vec<(Fingerprint, u32)> = held
            .map(|(fingerprint, case)| (fingerprint, case.account))
            .collect();
        let mut outbox = self.suspect_state.outbox.borrow_mut();
        for (fingerprint, account) in &held {
            for engine in suspects.dismiss(*fingerprint) {
                outbox.dismissals.push(DismissalUpdate {
                    fingerprint: (*fingerprint).into(),
                    account: *account,
                    engine: engine.0,
                });
            }
            tracing::warn!(mark = %fingerprint, "no longer on hold; an operator dismissed the crashes");
        }
        self.suspect_state.has_updates.notify_one();
        held.len()
    }

    /// Held requests and parts, one per line: fingerprint, number of crashed engines, ids of those
    /// that are known here, and which of both it is.
    pub fn held_requests_text(&self) -> String {
        let suspects = self.suspect_state.suspects.borrow();
        let line = |(mark, case): (Fingerprint, &Case)| {
            let engines = self.engine_ids(case).join(",");
            let kind = match case.is_part() {
                true => "part",
                false => "request",
            };
            let ended = case.crashes.len();
            format!("mark={mark} ended={ended} engines={engines} kind={kind}\n")
        };
        suspects.held().map(line).collect()
    }

    /// Updates the metrics of suspected and held requests.
    pub fn update_suspect_metrics(&self) {
        let suspects = self.suspect_state.suspects.borrow();
        self.metrics.suspect_requests.set(suspects.count() as i64);
        self.metrics
            .held_requests
            .set(suspects.held().count() as i64);
    }

    /// True if a part of a prompt is on hold.
    pub fn holds_part(&self, parts: &[Fingerprint]) -> bool {
        let suspects = self.suspect_state.suspects.borrow();
        parts.iter().any(|part| suspects.is_held(*part))
    }

    /// Completes once the request, or one of `parts`, is on hold.
    pub async fn until_held(&self, fingerprint: Fingerprint, parts: &[Fingerprint]) {
        loop {
            let notified = self.suspect_state.request_held.notified();
            let status = self.suspect_state.suspects.borrow().status(fingerprint);
            if status == Status::Held || self.holds_part(parts) {
                return;
            }
            notified.await;
        }
    }
}

/// Sends updates to other gateways.
pub async fn send_updates(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let repeat_at = {
            let outbox = state.suspect_state.outbox.borrow();
            outbox.repeats.front().map(|(at, _)| *at)
        };
        let evaluate_at = state.suspect_state.suspects.borrow().evaluation_due_at();
        match repeat_at.into_iter().chain(evaluate_at).min() {
            Some(at) => drop(clock::before(at, state.suspect_state.has_updates.notified()).await),
            None => state.suspect_state.has_updates.notified().await,
        }
        clock::pause(BATCH_MILLIS).await;
        let now = clock::now();
        if evaluate_at.is_some_and(|at| at.has_passed(now)) {
            state.evaluate_suspects(now);
        }
        let messages = take_updates(&mut state.suspect_state.outbox.borrow_mut(), now);
        for message in messages {
            send_to_all(&state, &socket, message, now);
        }
    }
}

fn take_updates(outbox: &mut Outbox, now: Instant) -> Vec<Message> {
    let mut crashes = std::mem::take(&mut outbox.crashes);
    if !crashes.is_empty() {
        for millis in REPEAT_DELAYS_MILLIS {
            let at = now.after_millis(millis);
            let index = outbox.repeats.partition_point(|(other, _)| *other <= at);
            outbox.repeats.insert(index, (at, crashes.clone()));
        }
    }
    while outbox
        .repeats
        .front()
        .is_some_and(|(at, _)| at.has_passed(now))
    {
        crashes.extend(
            outbox
                .repeats
                .pop_front()
                .into_iter()
                .flat_map(|(_, crashes)| crashes),
        );
    }
    let crashes: Vec<CrashUpdate> = crashes
        .iter()
        .map(|crash| CrashUpdate::new(crash, now))
        .collect();
    let completions = std::mem::take(&mut outbox.completions).into_iter();
    let completions: Vec<CompletionUpdate> = completions.map(completion_update).collect();
    let dismissals = std::mem::take(&mut outbox.dismissals);
    let trial_updates = std::mem::take(&mut outbox.trial_updates);
    split_into_messages(&crashes, &completions, &dismissals, &trial_updates)
}

fn completion_update((fingerprint, version): (Fingerprint, Version)) -> CompletionUpdate {
    CompletionUpdate {
        fingerprint: fingerprint.into(),
        version: version.0,
    }
}

/// Splits updates into messages that fit into datagrams.
fn split_into_messages(
    crashes: &[CrashUpdate],
    completions: &[CompletionUpdate],
    dismissals: &[DismissalUpdate],
    trial_updates: &[TrialUpdate],
) -> Vec<Message> {
    let counts = [
        crashes.len(),
        completions.len(),
        dismissals.len(),
        trial_updates.len(),
    ];
    let total: usize = counts.iter().sum();
    if total <= MAX_ENTRIES {
        let message = Message {
            crashes: crashes.to_vec(),
            completions: completions.to_vec(),
            dismissals: dismissals.to_vec(),
            trials: trial_updates.to_vec(),
            ..Message::default()
        };
        return if message.is_empty() {
            Vec::new()
        } else {
            vec![message]
        };
    }
    let crashes = crashes.chunks(MAX_ENTRIES).map(|crashes| Message {
        crashes: crashes.to_vec(),
        ..Message::default()
    });
    let completions = completions.chunks(MAX_ENTRIES).map(|completions| Message {
        completions: completions.to_vec(),
        ..Message::default()
    });
    let dismissals = dismissals.chunks(MAX_ENTRIES).map(|dismissals| Message {
        dismissals: dismissals.to_vec(),
        ..Message::default()
    });
    let trial_updates = trial_updates
        .chunks(MAX_ENTRIES)
        .map(|trial_updates| Message {
            trials: trial_updates.to_vec(),
            ..Message::default()
        });
    crashes
        .chain(completions)
        .chain(dismissals)
        .chain(trial_updates)
        .collect()
}

fn send(state: &State, socket: &UdpSocket, message: &Message, receiver: SocketAddr) {
    let bytes = message::encode(&Datagram::Suspects(message.clone()));
    state
        .metrics
        .record_message(MessageKind::Suspects, bytes.len());
    // A datagram that is not sent counts as lost: it is repeated, or the next digest reveals the
    // gap.
    let _ = socket.try_send_to(&bytes, receiver);
}

fn send_to_all(state: &State, socket: &UdpSocket, mut message: Message, now: Instant) {
    let zones = state.zones.borrow();
    let is_direct = zones.gateway_count() <= MAX_DIRECT_GATEWAYS;
    let own = state.settings.peers;
    let mut sent_to_zone = 0;
    let mut last_zone = String::new();
    for (zone, gateway) in zones.alive(now) {
        if last_zone != zone {
            last_zone = zone.to_owned();
            sent_to_zone = 0;
        }
        let is_target_zone = is_direct || zone == state.settings.zone;
        if gateway == own || (!is_target_zone && sent_to_zone >= RECEIVERS_PER_ZONE) {
            continue;
        }
        sent_to_zone += 1;
        message.is_to_be_forwarded = !is_target_zone;
        send(state, socket, &message, gateway);
    }
}

/// Applies an update or a digest from another gateway, and responds to it.
pub fn receive(state: &State, socket: &UdpSocket, update: &Message, from: SocketAddr) {
    let now = clock::now();
    let (new_updates, refutations) = apply_update(state, update, now);
    if !refutations.is_empty() {
        let response = Message {
            completions: refutations,
            is_reply: true,
            ..Message::default()
        };
        send(state, socket, &response, from);
    }
    if update.is_to_be_forwarded && !new_updates.is_empty() {
        for neighbour in state.zones.borrow().neighbours() {
            send(state, socket, &new_updates, neighbour);
        }
    }
    let Some(digest) = update.digest else { return };
    let own_digest = state.suspect_state.suspects.borrow().digest();
    if digest == own_digest {
        return;
    }
    let mut responses = serious_cases(&state.suspect_state.suspects.borrow(), now);
    responses.truncate(MAX_RESPONSES);
    for response in &responses {
        send(state, socket, response, from);
    }
    if !update.is_reply {
        let request = Message {
            digest: Some(own_digest),
            is_reply: true,
            ..Message::default()
        };
        send(state, socket, &request, from);
    }
}

/// Applies an update; returns the part of it that is new here, and completions that refute it.
pub fn apply_update(
    state: &State,
    update: &Message,
    now: Instant,
) -> (Message, Vec<CompletionUpdate>) {
    let mut new_updates = Message::default();
    let mut refutations: Vec<CompletionUpdate> = Vec::new();
    for report in &update.crashes {
        let crash = report.crash(now);
        let engine_count = state.engine_count();
        let change = state
            .suspect_state
            .suspects
            .borrow_mut()
            .record_crash(crash, engine_count);
        match change {
            ReportOutcome::Known => {}
            ReportOutcome::New => new_updates.crashes.push(*report),
            ReportOutcome::Refuted(version) => {
                refutations.push(completion_update((crash.fingerprint, version)))
            }
        }
    }
    refutations.dedup();
    let mut suspects = state.suspect_state.suspects.borrow_mut();
    for completion in &update.completions {
        if suspects.record_refutation(completion.fingerprint.into(), Version(completion.version)) {
            new_updates.completions.push(*completion);
            // A response to an update that this gateway may also have sent to others.
            if update.is_reply {
                state.announce_completion(
                    completion.fingerprint.into(),
                    Version(completion.version),
                );
            }
        }
    }
    for dismissal in &update.dismissals {
        if suspects.record_dismissal(
            dismissal.fingerprint.into(),
            dismissal.account,
            Incarnation(dismissal.engine),
        ) {
            new_updates.dismissals.push(*dismissal);
        }
    }
    let mut trials = state.suspect_state.trials.borrow_mut();
    for trial_update in &update.trials {
        match trial_update.has_ended {
            true => trials.record_end(trial_update.fingerprint.into(), trial_update.gateway),
            false => trials.record_start(trial_update.trial(), now),
        }
        new_updates.trials.push(*trial_update);
    }
    if !new_updates.is_empty() {
        // Wakes the sending task, which also evaluates the suspects.
        state.suspect_state.has_updates.notify_one();
    }
    (new_updates, refutations)
}

/// What outlasts a crash of all gateways.
pub fn holds_message(suspects: &Suspects, now: Instant) -> Message {
    let mut message = Message::default();
    for (fingerprint, case) in suspects.kept_cases() {
        if suspects.is_held(fingerprint) {
            let crashes = case.crashes.iter();
            let updates = crashes.map(|crash| CrashUpdate::new(crash, now));
            message.crashes.extend(updates);
        }
        message
            .dismissals
            .extend(dismissal_updates(fingerprint, case));
    }
    message
}

fn dismissal_updates(
    fingerprint: Fingerprint,
    case: &Case,
) -> impl Iterator<Item = DismissalUpdate> {
    case.dismissed.iter().map(move |engine| DismissalUpdate {
        fingerprint: fingerprint.into(),
        account: case.account,
        engine: engine.0,
    })
}

/// Messages with all serious cases, those on hold first, as only the first messages are sent.
fn serious_cases(suspects: &Suspects, now: Instant) -> Vec<Message> {
    let mut cases: Vec<(Fingerprint, &Case)> = suspects.replicated_cases().collect();
    cases.sort_by_key(|(fingerprint, _)| !suspects.is_held(*fingerprint));
    let crashes = cases.iter().flat_map(|(_, case)| &case.crashes);
    let crashes: Vec<CrashUpdate> = crashes.map(|crash| CrashUpdate::new(crash, now)).collect();
    let completions = suspects
        .replicated_cases()
        .filter_map(|(fingerprint, case)| Some((fingerprint, case.refuted_up_to?)));
    let completions: Vec<CompletionUpdate> = completions.map(completion_update).collect();
    let dismissals = cases
        .iter()
        .flat_map(|(fingerprint, case)| dismissal_updates(*fingerprint, case));
    let dismissals: Vec<DismissalUpdate> = dismissals.collect();
    split_into_messages(&crashes, &completions, &dismissals, &[])
}

/// Sends digests to other gateways, each time to a random one.
pub async fn send_digests(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let is_starting = clock::now().millis_since(state.started()) < STARTUP_MILLIS;
        let interval = if is_starting {
            STARTUP_DIGEST_INTERVAL_MILLIS
        } else {
            DIGEST_INTERVAL_MILLIS
        };
        clock::pause(interval).await;
        let digest = state.suspect_state.suspects.borrow().digest();
        if digest == 0 && !is_starting {
            continue;
        }
        let receiver = {
            let zones = state.zones.borrow();
            let others = zones.alive(clock::now()).map(|(_, gateway)| gateway);
            let others = others.filter(|gateway| *gateway != state.settings.peers);
            fastrand::choice(others.collect::<Vec<_>>())
        };
        let Some(receiver) = receiver else { continue };
        let request = Message {
            digest: Some(digest),
            ..Message::default()
        };
        send(&state, &socket, &request, receiver);
    }
}

/// Hash of a client account, by which crash reports refer to it.
pub fn account_hash(account: Option<&str>) -> u32 {
    order::hash(account.unwrap_or_default()) as u32
}
