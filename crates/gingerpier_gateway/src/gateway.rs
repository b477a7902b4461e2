//! The gateway process: listeners, tasks, signals and graceful shutdown.

use {
    crate::{
        capacity_sharing, clock, discovery,
        error::{Error, Step},
        hold_keeper, loader_configuration, log, members, proxy, reports,
        state::State,
        store, store_sharing, suspects,
        weights::{self, peers},
        zones,
    },
    gingerpier_http1::{connection::Connection, writer::Message},
    gingerpier_serving::{platform_api::PlatformApi, shutdown::Schedule},
    gingerpier_settings::Gateway as Settings,
    std::{net::SocketAddr, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Interval between checks for active requests, and delay after a failed accept.
const POLL_INTERVAL_MILLIS: u64 = 50;

/// Interval between sweeps of idle connections and expired engines.
const SWEEP_INTERVAL_MILLIS: u64 = 1_000;

/// Interval between ticks, which detect stalls of the process.
const TICK_INTERVAL_MILLIS: u64 = 250;

async fn listen(step: Step, peer: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(peer).await;
    listener.map_err(|cause| Error::Io { step, peer, cause })
}

fn signal_stream(kind: SignalKind, peer: SocketAddr) -> Result<Signal, Error> {
    signal(kind).map_err(|cause| Error::Io {
        step: Step::Signals,
        peer,
        cause,
    })
}

/// Runs a gateway until a termination signal arrives.
///
/// # Errors
///
/// Fails if a listener or a signal handler can't be set up.
pub async fn run(settings: Settings, platform_api: &'static dyn PlatformApi) -> Result<(), Error> {
    let log_buffer = log::start();
    let caller_listener = listen(Step::ListenCallers, settings.callers).await?;
    let readiness_listener = listen(Step::ListenReadiness, settings.readiness).await?;
    let control_listener = listen(Step::ListenControl, settings.control).await?;
    let peer_address = settings.peers;
    let socket = UdpSocket::bind(peer_address)
        .await
        .map_err(|cause| Error::Io {
            step: Step::ListenPeers,
            peer: peer_address,
            cause,
        })?;
    let chunk_listener = listen(Step::ListenPeers, peer_address).await?;
    let mut terminate = signal_stream(SignalKind::terminate(), settings.callers)?;
    let hangup = signal_stream(SignalKind::hangup(), settings.callers)?;
    tracing::info!(name = settings.name, zone = settings.zone, callers = %settings.callers, "gateway starts");
    let state = Rc::new(State::new(settings, platform_api));
    let socket = Rc::new(socket);
    actix_rt::spawn(clock::watch());
    actix_rt::spawn(discovery::send_hellos(state.clone(), socket.clone()));
    actix_rt::spawn(members::send_probes(state.clone(), socket.clone()));
    actix_rt::spawn(discovery::find_loaders(state.clone()));
    actix_rt::spawn(store::follow(state.clone()));
    actix_rt::spawn(store_sharing::serve(state.clone(), control_listener));
    actix_rt::spawn(store_sharing::run(state.clone()));
    actix_rt::spawn(peers::serve(state.distributor.clone(), chunk_listener));
    actix_rt::spawn(loader_configuration::run(state.clone()));
    if state.settings.carries_weights {
        actix_rt::spawn(weights::relay::run(state.clone()));
        actix_rt::spawn(weights::origin_poll::run(state.clone()));
        actix_rt::spawn(weights::manifest_keeper::run(state.clone()));
    }
    actix_rt::spawn(reports::subscribe(state.clone(), socket.clone()));
    actix_rt::spawn(zones::send_digests(state.clone(), socket.clone()));
    actix_rt::spawn(capacity_sharing::run(state.clone(), socket.clone()));
    actix_rt::spawn(suspects::send_updates(state.clone(), socket.clone()));
    actix_rt::spawn(suspects::send_digests(state.clone(), socket.clone()));
    actix_rt::spawn(hold_keeper::run(state.clone()));
    actix_rt::spawn(reports::receive(state.clone(), socket));
    actix_rt::spawn(serve_readiness(state.clone(), readiness_listener));
    actix_rt::spawn(proxy::accept(state.clone(), caller_listener));
    actix_rt::spawn(sweep(state.clone()));
    actix_rt::spawn(run_ticks(state.clone()));
    actix_rt::spawn(log_hangups(hangup));
    terminate.recv().await;
    stop(&state).await;
    log::flush(&log_buffer);
    Ok(())
}

async fn log_hangups(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        tracing::info!("changed settings take effect at the next start");
    }
}

async fn run_ticks(state: Rc<State>) {
    loop {
        clock::pause(TICK_INTERVAL_MILLIS).await;
        let running_since = state.record_tick();
        state.update_cold_ownership(running_since);
        state.update_request_intervals();
    }
}

async fn sweep(state: Rc<State>) {
    loop {
        clock::pause(SWEEP_INTERVAL_MILLIS).await;
        state.expire_engines();
        state.end_missing_evacuations();
        state.settle_contested_entries();
        state.update_engine_metrics();
        state
            .metrics
            .unparsed_items
            .set(state.item_parser.invalid_count() as i64);
        state.update_suspect_metrics();
        let fleet = state.fleet.borrow();
        let is_present = |key: &_| !fleet.engine(*key).is_removed;
        state.pool.borrow_mut().sweep(is_present);
    }
}

async fn stop(state: &State) {
    let schedule = Schedule::new(clock::now(), state.settings.drain_within.0);
    state.stop(schedule);
    tracing::info!(active = state.active_requests.get(), "gateway stops");
    clock::until(schedule.accepts_until).await;
    state.is_closed.set(true);
    state.closing.notify_waiters();
    tracing::info!(
        active = state.active_requests.get(),
        "no longer accepting requests"
    );
    // Callers that connect late still get an error response.
    clock::until(schedule.refuses_until).await;
    while state.active_requests.get() > 0 && !schedule.ends_by.has_passed(clock::now()) {
        clock::pause(POLL_INTERVAL_MILLIS).await;
    }
    tracing::info!(active = state.active_requests.get(), "gateway stopped");
}

async fn serve_readiness(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                actix_rt::spawn(async move { serve_readiness_connection(&state, stream).await });
            }
            Err(_) => clock::pause(POLL_INTERVAL_MILLIS).await,
        }
    }
}

async fn serve_readiness_connection(state: &State, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Some(request) = store_sharing::read_head(&mut connection).await {
        let target = std::str::from_utf8(request.target()).unwrap_or_default();
        let status = match (
            state.platform_api.is_readiness_check(target),
            state.is_ready(),
        ) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        let response = Message::response(status).body(b"");
        if connection.write(&response).await.is_err() || !request.keeps_alive() {
            return;
        }
    }
}
