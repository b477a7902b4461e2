//! Requests that ended engines: what this gateway saw and heard of them, and what it tells the others.
//!
//! An end is told at once to all gateways, and twice again, as a datagram may be lost. Where there are many gateways, two of each
//! other zone are told, which pass on what is new to them. Besides, each gateway sends a digest of the graver part of what
//! it knows to another one each second: who started, was cut off or stood still learns the rest by that.

use {
    crate::{
        clock,
        message::{
            self, Datagram, Suspects as Message, ToldCleared, ToldEnd, ToldPardon, ToldTrial,
        },
        metrics::Kind,
        state::State,
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        mark::Mark,
        report::Version,
        suspects::{Case, End, Incarnation, Noted, Standing, Suspects},
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

/// Milliseconds that word waits for more: an engine's end is noticed for all its requests within a round trip.
const GATHER_MILLIS: u64 = 2;

/// Milliseconds after which word of an end is repeated.
const REPEATS_MILLIS: [u64; 2] = [100, 500];

/// Milliseconds between two digests.
const DIGEST_EVERY_MILLIS: u64 = 1_000;

/// The same, and for how long, of a process that has just started and knows nothing.
const START_EVERY_MILLIS: u64 = 200;
const START_MILLIS: u64 = 4_000;

/// Gateways up to which each is told directly: a datagram each is 4 KB of headers and contents an engine's end.
const MOST_DIRECT: u32 = 64;

/// Gateways of another zone that are told where there are more.
const RECEIVERS: usize = 2;

/// Entries in one datagram: some 45 bytes each.
const ENTRIES: usize = 24;

/// Datagrams that answer one digest at most.
const MOST_ANSWERS: usize = 8;

/// Word that waits to be told.
#[derive(Default)]
struct Outbox {
    ends: Vec<End>,
    cleared: Vec<(Mark, Version)>,
    pardons: Vec<ToldPardon>,
    trials: Vec<ToldTrial>,
    repeats: VecDeque<(Instant, Vec<End>)>,
}

/// What a gateway knows of requests that ended engines.
#[derive(Default)]
pub struct Knowledge {
    /// The requests.
    pub suspects: RefCell<Suspects>,
    /// Trials under way.
    pub trials: RefCell<Trials>,
    /// Tells requests under way that one more is held back.
    pub held: Notify,
    outbox: RefCell<Outbox>,
    has_word: Notify,
}

impl State {
    /// Notes that the engine at `engine`, one `of` so many, ended while it ran a request of this gateway.
    pub fn note_end(&self, end: End, of: usize) {
        let noted = self.knowledge.suspects.borrow_mut().note_end(end, of);
        // What is refuted here is not told: most requests that many send are.
        if noted == Noted::News {
            self.knowledge.outbox.borrow_mut().ends.push(end);
            self.knowledge.has_word.notify_one();
        }
    }

    /// Holds requests back where enough is known against them.
    fn judge(&self, now: Instant) {
        let held = self.knowledge.suspects.borrow_mut().judge(now);
        if held.is_empty() {
            return;
        }
        let suspects = self.knowledge.suspects.borrow();
        for mark in held {
            let engines = suspects.case(mark).map(|case| self.engine_ids(case));
            tracing::warn!(%mark, ?engines, "request is held back, as engines ended under it");
        }
        self.knowledge.held.notify_waiters();
    }

    /// Ids of the engines that ended under a request, as far as they are known here.
    fn engine_ids(&self, case: &Case) -> Vec<String> {
        let fleet = self.fleet.borrow();
        let ends: BTreeSet<Incarnation> = case.ends.iter().map(|end| end.engine).collect();
        let is_ended = |engine: &&gingerpier_serving::engine::Engine| {
            ends.contains(&Incarnation::of(&engine.record, engine.born()))
        };
        let engines = fleet.known().filter(is_ended);
        engines.map(|engine| engine.record.id.clone()).collect()
    }

    /// Notes that a request was answered whole by weights of `version`.
    pub fn note_finished(&self, mark: Mark, version: Version) {
        let refutes = self
            .knowledge
            .suspects
            .borrow_mut()
            .note_finished(mark, version);
        if refutes {
            tracing::info!(%mark, version = version.0, "request was answered whole, engines ended under it by chance");
            self.tell_cleared(mark, version);
        }
    }

    fn tell_cleared(&self, mark: Mark, version: Version) {
        let mut outbox = self.knowledge.outbox.borrow_mut();
        outbox.cleared.push((mark, version));
        self.knowledge.has_word.notify_one();
    }

    /// Tells the others that a trial of this gateway begins or is over.
    pub fn tell_trial(&self, trial: &Trial, is_over: bool) {
        let told = ToldTrial::new(trial, is_over);
        self.knowledge.outbox.borrow_mut().trials.push(told);
        self.knowledge.has_word.notify_one();
    }

    /// Lets requests go again whose marks begin with `prefix`, by an operator's word; gives how many.
    pub fn release(&self, prefix: &str) -> usize {
        let mut suspects = self.knowledge.suspects.borrow_mut();
        let held = suspects.held().filter(|(mark, _)| mark.begins_with(prefix));
        let held: Vec<(Mark, u32)> = held.map(|(mark, case)| (mark, case.account)).collect();
        let mut outbox = self.knowledge.outbox.borrow_mut();
        for (mark, account) in &held {
            for engine in suspects.pardon(*mark) {
                outbox.pardons.push(ToldPardon {
                    mark: (*mark).into(),
                    account: *account,
                    engine: engine.0,
                });
            }
            tracing::warn!(%mark, "request is let go again, by an operator's word");
        }
        self.knowledge.has_word.notify_one();
        held.len()
    }

    /// Requests that are held back, one a line: mark, engines that ended under it, and those of them that are known here.
    pub fn held_text(&self) -> String {
        let suspects = self.knowledge.suspects.borrow();
        let line = |(mark, case): (Mark, &Case)| {
            let engines = self.engine_ids(case).join(",");
            format!("mark={mark} ended={} engines={engines}\n", case.ends.len())
        };
        suspects.held().map(line).collect()
    }

    /// Counts requests under which engines ended.
    pub fn count_suspects(&self) {
        let suspects = self.knowledge.suspects.borrow();
        self.metrics.suspects.set(suspects.count() as i64);
        self.metrics.held.set(suspects.held().count() as i64);
    }

    /// Returns once a request is held back.
    pub async fn is_held(&self, mark: Mark) {
        loop {
            let held = self.knowledge.held.notified();
            if self.knowledge.suspects.borrow().standing(mark) == Standing::Held {
                return;
            }
            held.await;
        }
    }
}

/// Tells other gateways what there is to tell.
pub async fn tell(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let repeat = {
            let outbox = state.knowledge.outbox.borrow();
            outbox.repeats.front().map(|(at, _)| *at)
        };
        let judges = state.knowledge.suspects.borrow().judges_at();
        match repeat.into_iter().chain(judges).min() {
            Some(at) => drop(clock::before(at, state.knowledge.has_word.notified()).await),
            None => state.knowledge.has_word.notified().await,
        }
        clock::pause(GATHER_MILLIS).await;
        let now = clock::now();
        if judges.is_some_and(|at| at.has_passed(now)) {
            state.judge(now);
        }
        let messages = take_word(&mut state.knowledge.outbox.borrow_mut(), now);
        for message in messages {
            send_to_all(&state, &socket, message, now);
        }
    }
}

fn take_word(outbox: &mut Outbox, now: Instant) -> Vec<Message> {
    let mut ends = std::mem::take(&mut outbox.ends);
    if !ends.is_empty() {
        for millis in REPEATS_MILLIS {
            let at = now.after_millis(millis);
            let place = outbox.repeats.partition_point(|(other, _)| *other <= at);
            outbox.repeats.insert(place, (at, ends.clone()));
        }
    }
    while outbox
        .repeats
        .front()
        .is_some_and(|(at, _)| at.has_passed(now))
    {
        ends.extend(
            outbox
                .repeats
                .pop_front()
                .into_iter()
                .flat_map(|(_, ends)| ends),
        );
    }
    let ends: Vec<ToldEnd> = ends.iter().map(|end| ToldEnd::new(end, now)).collect();
    let cleared = std::mem::take(&mut outbox.cleared).into_iter();
    let cleared: Vec<ToldCleared> = cleared.map(told_cleared).collect();
    let pardons = std::mem::take(&mut outbox.pardons);
    let trials = std::mem::take(&mut outbox.trials);
    messages(&ends, &cleared, &pardons, &trials)
}

fn told_cleared((mark, version): (Mark, Version)) -> ToldCleared {
    ToldCleared {
        mark: mark.into(),
        version: version.0,
    }
}

/// Messages that fit into datagrams.
fn messages(
    ends: &[ToldEnd],
    cleared: &[ToldCleared],
    pardons: &[ToldPardon],
    trials: &[ToldTrial],
) -> Vec<Message> {
    let longest = [ends.len(), cleared.len(), pardons.len(), trials.len()];
    let together: usize = longest.iter().sum();
    if together <= ENTRIES {
        let message = Message {
            ends: ends.to_vec(),
            cleared: cleared.to_vec(),
            pardons: pardons.to_vec(),
            trials: trials.to_vec(),
            ..Message::default()
        };
        return if message.is_empty() {
            Vec::new()
        } else {
            vec![message]
        };
    }
    let ends = ends.chunks(ENTRIES).map(|ends| Message {
        ends: ends.to_vec(),
        ..Message::default()
    });
    let cleared = cleared.chunks(ENTRIES).map(|cleared| Message {
        cleared: cleared.to_vec(),
        ..Message::default()
    });
    let pardons = pardons.chunks(ENTRIES).map(|pardons| Message {
        pardons: pardons.to_vec(),
        ..Message::default()
    });
    let trials = trials.chunks(ENTRIES).map(|trials| Message {
        trials: trials.to_vec(),
        ..Message::default()
    });
    ends.chain(cleared).chain(pardons).chain(trials).collect()
}

fn send(state: &State, socket: &UdpSocket, message: &Message, receiver: SocketAddr) {
    let bytes = message::encode(&Datagram::Suspects(message.clone()));
    state.metrics.note_message(Kind::Suspects, bytes.len());
    // A datagram that can't be sent is as good as lost; it is repeated, or the next digest shows what is missing.
    let _ = socket.try_send_to(&bytes, receiver);
}

fn send_to_all(state: &State, socket: &UdpSocket, mut message: Message, now: Instant) {
    let zones = state.zones.borrow();
    let is_direct = zones.gateway_count() <= MOST_DIRECT;
    let own = state.settings.peers;
    let mut told_of_zone = 0;
    let mut last_zone = String::new();
    for (zone, gateway) in zones.living(now) {
        if last_zone != zone {
            last_zone = zone.to_owned();
            told_of_zone = 0;
        }
        let is_near = is_direct || zone == state.settings.zone;
        if gateway == own || (!is_near && told_of_zone >= RECEIVERS) {
            continue;
        }
        told_of_zone += 1;
        message.is_to_pass_on = !is_near;
        send(state, socket, &message, gateway);
    }
}

/// Takes word of another gateway.
pub fn take(state: &State, socket: &UdpSocket, told: &Message, from: SocketAddr) {
    let now = clock::now();
    let (news, refuted) = note(state, told, now);
    if !refuted.is_empty() {
        let answer = Message {
            cleared: refuted,
            is_answer: true,
            ..Message::default()
        };
        send(state, socket, &answer, from);
    }
    if told.is_to_pass_on && !news.is_empty() {
        for neighbour in state.zones.borrow().neighbours() {
            send(state, socket, &news, neighbour);
        }
    }
    let Some(digest) = told.digest else { return };
    let own = state.knowledge.suspects.borrow().digest();
    if digest == own {
        return;
    }
    let mut answers = grave(&state.knowledge.suspects.borrow(), now);
    answers.truncate(MOST_ANSWERS);
    for answer in &answers {
        send(state, socket, answer, from);
    }
    if !told.is_answer {
        let question = Message {
            digest: Some(own),
            is_answer: true,
            ..Message::default()
        };
        send(state, socket, &question, from);
    }
}

/// Notes what was told; gives what of it is new, and what is refuted here.
fn note(state: &State, told: &Message, now: Instant) -> (Message, Vec<ToldCleared>) {
    let mut news = Message::default();
    let mut refuted: Vec<ToldCleared> = Vec::new();
    for one in &told.ends {
        let end = one.end(now);
        let of = state.engine_count();
        let noted = state.knowledge.suspects.borrow_mut().note_end(end, of);
        match noted {
            Noted::Known => {}
            Noted::News => news.ends.push(*one),
            Noted::Refuted(version) => refuted.push(told_cleared((end.mark, version))),
        }
    }
    refuted.dedup();
    let mut suspects = state.knowledge.suspects.borrow_mut();
    for one in &told.cleared {
        if suspects.note_cleared(one.mark.into(), Version(one.version)) {
            news.cleared.push(*one);
            // An answer to word of this gateway, which others may have heard as well.
            if told.is_answer {
                state.tell_cleared(one.mark.into(), Version(one.version));
            }
        }
    }
    for one in &told.pardons {
        if suspects.note_pardoned(one.mark.into(), one.account, Incarnation(one.engine)) {
            news.pardons.push(*one);
        }
    }
    let mut trials = state.knowledge.trials.borrow_mut();
    for one in &told.trials {
        match one.is_over {
            true => trials.note_over(one.mark.into(), one.by),
            false => trials.note_begun(one.trial(), now),
        }
        news.trials.push(*one);
    }
    if !news.is_empty() {
        // It is judged soon.
        state.knowledge.has_word.notify_one();
    }
    (news, refuted)
}

/// All that others should know.
fn grave(suspects: &Suspects, now: Instant) -> Vec<Message> {
    let ends = suspects.grave().flat_map(|(_, case)| &case.ends);
    let ends: Vec<ToldEnd> = ends.map(|end| ToldEnd::new(end, now)).collect();
    let cleared = suspects
        .grave()
        .filter_map(|(mark, case)| Some((mark, case.cleared?)));
    let cleared: Vec<ToldCleared> = cleared.map(told_cleared).collect();
    let pardons = suspects.grave().flat_map(|(mark, case)| {
        case.pardoned.iter().map(move |engine| ToldPardon {
            mark: mark.into(),
            account: case.account,
            engine: engine.0,
        })
    });
    let pardons: Vec<ToldPardon> = pardons.collect();
    messages(&ends, &cleared, &pardons, &[])
}

/// Sends digests to other gateways, one after the other at random.
pub async fn compare(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let is_new = clock::now().millis_since(state.started()) < START_MILLIS;
        let pause = if is_new {
            START_EVERY_MILLIS
        } else {
            DIGEST_EVERY_MILLIS
        };
        clock::pause(pause).await;
        let digest = state.knowledge.suspects.borrow().digest();
        if digest == 0 && !is_new {
            continue;
        }
        let receiver = {
            let zones = state.zones.borrow();
            let others = zones.living(clock::now()).map(|(_, gateway)| gateway);
            let others = others.filter(|gateway| *gateway != state.settings.peers);
            fastrand::choice(others.collect::<Vec<_>>())
        };
        let Some(receiver) = receiver else { continue };
        let question = Message {
            digest: Some(digest),
            ..Message::default()
        };
        send(&state, &socket, &question, receiver);
    }
}

/// Hash of a client account.
pub fn account(tenant: Option<&str>) -> u32 {
    order::hash(tenant.unwrap_or_default()) as u32
}
