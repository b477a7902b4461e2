//! The gateway: listeners, tasks, signals and a planned stop.

use {
    crate::{
        callers, clock, discovery,
        error::{Error, Step},
        figures, log, members, relay, reports,
        state::State,
        store, suspects,
        weights::{self, peers},
        zones,
    },
    gingerpier_http1::{connection::Connection, writer::Message},
    gingerpier_serving::dialect::Dialect,
    gingerpier_settings::Gateway as Settings,
    std::{net::SocketAddr, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Milliseconds for which a stopping gateway takes requests: the balancer has to look twice first,
/// and what was taken has to end in time.
const LEAVE_MILLIS: u64 = 2_800;

/// Milliseconds for which late requests are refused rather than met by a closed port.
const LATE_MILLIS: u64 = 1_200;

/// Milliseconds before the end of a planned stop by which everything has ended.
const STOP_MARGIN_MILLIS: u64 = 600;

/// Milliseconds between looks at whether work is left.
const LOOK_MILLIS: u64 = 50;

/// Milliseconds between sweeps of resting connections and of engines that are not back.
const SWEEP_MILLIS: u64 = 1_000;

/// Milliseconds between notes that the process runs.
const RUNNING_MILLIS: u64 = 250;

async fn listen(step: Step, peer: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(peer).await;
    listener.map_err(|what| Error::Io { step, peer, what })
}

fn take_signal(kind: SignalKind, peer: SocketAddr) -> Result<Signal, Error> {
    signal(kind).map_err(|what| Error::Io {
        step: Step::Signals,
        peer,
        what,
    })
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Where it can't start.
pub async fn run(settings: Settings, dialect: &'static dyn Dialect) -> Result<(), Error> {
    let lines = log::start();
    let callers = listen(Step::ListenCallers, settings.callers).await?;
    let readiness = listen(Step::ListenReadiness, settings.readiness).await?;
    let control = listen(Step::ListenControl, settings.control).await?;
    let own = settings.peers;
    let socket = UdpSocket::bind(own).await.map_err(|what| Error::Io {
        step: Step::ListenPeers,
        peer: own,
        what,
    })?;
    let chunks = listen(Step::ListenPeers, own).await?;
    let mut terminate = take_signal(SignalKind::terminate(), settings.callers)?;
    let hangup = take_signal(SignalKind::hangup(), settings.callers)?;
    tracing::info!(name = settings.name, zone = settings.zone, callers = %settings.callers, "gateway starts");
    let state = Rc::new(State::new(settings, dialect));
    let socket = Rc::new(socket);
    actix_rt::spawn(clock::watch());
    actix_rt::spawn(discovery::greet(state.clone(), socket.clone()));
    actix_rt::spawn(members::probe(state.clone(), socket.clone()));
    actix_rt::spawn(discovery::look(state.clone()));
    actix_rt::spawn(store::follow(state.clone()));
    actix_rt::spawn(relay::serve(state.clone(), control));
    actix_rt::spawn(relay::follow(state.clone()));
    actix_rt::spawn(peers::serve(state.carrier.clone(), chunks));
    actix_rt::spawn(figures::keep(state.clone()));
    if state.settings.carries_weights {
        actix_rt::spawn(weights::relay::keep(state.clone()));
        actix_rt::spawn(weights::search::keep(state.clone()));
    }
    actix_rt::spawn(reports::subscribe(state.clone(), socket.clone()));
    actix_rt::spawn(zones::tell(state.clone(), socket.clone()));
    actix_rt::spawn(suspects::tell(state.clone(), socket.clone()));
    actix_rt::spawn(suspects::compare(state.clone(), socket.clone()));
    actix_rt::spawn(reports::take(state.clone(), socket));
    actix_rt::spawn(answer_readiness(state.clone(), readiness));
    actix_rt::spawn(callers::accept(state.clone(), callers));
    actix_rt::spawn(sweep(state.clone()));
    actix_rt::spawn(watch_running(state.clone()));
    actix_rt::spawn(note_hangups(hangup));
    terminate.recv().await;
    stop(&state).await;
    log::flush(&lines);
    Ok(())
}

async fn note_hangups(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        tracing::info!("settings changed; they hold from the next start");
    }
}

async fn watch_running(state: Rc<State>) {
    loop {
        clock::pause(RUNNING_MILLIS).await;
        let since = state.note_running();
        state.note_owned(since);
    }
}

async fn sweep(state: Rc<State>) {
    loop {
        clock::pause(SWEEP_MILLIS).await;
        state.expire_engines();
        state.settle_doubts();
        state.count_engines();
        state.metrics.left_out.set(state.items.left_out() as i64);
        state.count_suspects();
        let fleet = state.fleet.borrow();
        let keep = |key: &_| !fleet.engine(*key).is_gone;
        state.pool.borrow_mut().sweep(keep);
    }
}

async fn stop(state: &State) {
    let started = clock::now();
    state.is_stopping.set(true);
    tracing::info!(active = state.active.get(), "gateway stops");
    let settings = &state.settings;
    let last = started.after_millis(settings.drain_within.0.saturating_sub(STOP_MARGIN_MILLIS));
    clock::until(started.after_millis(LEAVE_MILLIS)).await;
    state.has_left.set(true);
    state.leaving.notify_waiters();
    tracing::info!(active = state.active.get(), "no more requests taken");
    // Refusals still go out to whoever comes late.
    clock::pause(LATE_MILLIS).await;
    while state.active.get() > 0 && !last.has_passed(clock::now()) {
        clock::pause(LOOK_MILLIS).await;
    }
    tracing::info!(active = state.active.get(), "gateway stopped");
}

async fn answer_readiness(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                actix_rt::spawn(async move { say_ready(&state, stream).await });
            }
            Err(_) => clock::pause(LOOK_MILLIS).await,
        }
    }
}

async fn say_ready(state: &State, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Some(request) = relay::read_head(&mut connection).await {
        let target = std::str::from_utf8(request.target()).unwrap_or_default();
        let status = match (state.dialect.asks_ready(target), state.is_ready()) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        let answer = Message::response(status).body(b"");
        if connection.write(&answer).await.is_err() || !request.keeps_alive() {
            return;
        }
    }
}
