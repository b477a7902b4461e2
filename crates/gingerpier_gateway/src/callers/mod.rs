//! Callers' connections.

pub mod answer;
pub mod attempt;
pub mod call;
pub mod choosing;
pub mod ending;
pub mod forward;
pub mod starting;
pub mod stream;
pub mod trial;

use {
    crate::{clock, state::State},
    answer::Refusal,
    call::Call,
    gingerpier_base::Instant,
    gingerpier_http1::{body::Decoder, connection::Connection, error::Error, head::Request},
    gingerpier_serving::configuration::Limits,
    starting::Waited,
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Milliseconds after a failed accept.
const ACCEPT_PAUSE_MILLIS: u64 = 5;

/// Whether a connection serves another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// It does.
    Keep,
    /// It ends.
    Close,
}

/// Takes connections.
pub async fn accept(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                actix_rt::spawn(async move { serve(&state, Connection::new(stream)).await });
            }
            Err(_) => clock::pause(ACCEPT_PAUSE_MILLIS).await,
        }
    }
}

/// Counts a request as under way.
struct Active<'a>(&'a State);

impl<'a> Active<'a> {
    fn new(state: &'a State) -> Self {
        state.active.set(state.active.get() + 1);
        Self(state)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
    }
}

async fn serve(state: &Rc<State>, mut connection: Connection) {
    loop {
        let limits = state
            .configuration()
            .map_or_else(Limits::default, |configuration| configuration.limits);
        let head = tokio::select! {
            biased;
            head = read_head(&mut connection, &limits) => head,
            () = left(state), if connection.input.is_empty() => return,
        };
        let request = match head {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => {
                refuse_malformed(&mut connection, error).await;
                return;
            }
        };
        let received = clock::now();
        let _active = Active::new(state);
        if serve_one(state, &mut connection, &request, received, &limits).await == After::Close {
            connection.shutdown().await;
            return;
        }
    }
}

/// Waits until a stopping process takes no more requests: connections at rest end then.
async fn left(state: &State) {
    let leaving = state.leaving.notified();
    if !state.has_left.get() {
        leaving.await;
    }
}

async fn read_head(connection: &mut Connection, limits: &Limits) -> Result<Option<Request>, Error> {
    let mut deadline = clock::now().after_millis(limits.idle_timeout_millis);
    let mut has_begun = false;
    loop {
        if !connection.input.is_empty() {
            if let Some(request) = Request::parse(&mut connection.input, limits.max_head_bytes)? {
                return Ok(Some(request));
            }
            if !has_begun {
                has_begun = true;
                deadline = clock::now().after_millis(limits.head_timeout_millis);
            }
        }
        match clock::before(deadline, connection.read()).await {
            Some(Ok(true)) => {}
            _ => return Ok(None),
        }
    }
}

async fn refuse_malformed(connection: &mut Connection, error: Error) {
    let refusal = match error {
        Error::HeadTooLong => Refusal::HeadTooLong,
        _ => Refusal::Malformed,
    };
    tracing::warn!(cause = %error, "request not understood");
    let _ = connection.write(&answer::closing(refusal)).await;
    connection.shutdown().await;
}

async fn serve_one(
    state: &Rc<State>,
    connection: &mut Connection,
    request: &Request,
    received: Instant,
    limits: &Limits,
) -> After {
    let Ok(framing) = request.framing() else {
        refuse_malformed(connection, Error::Framing).await;
        return After::Close;
    };
    if request.fields.lists("expect", "100-continue") {
        let _ = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let body = connection.body(Decoder::new(framing), limits.max_body_bytes);
    let patience = received.after_millis(limits.idle_timeout_millis);
    let body = match clock::before(patience, body).await {
        Some(Ok(body)) => body,
        Some(Err(Error::BodyTooLong)) => {
            let _ = connection
                .write(&answer::closing(Refusal::BodyTooLong))
                .await;
            return After::Close;
        }
        Some(Err(Error::Cut)) | None => return After::Close,
        Some(Err(error)) => {
            refuse_malformed(connection, error).await;
            return After::Close;
        }
    };
    let call = loop {
        let call = Call::read(state, request, &body, received);
        if !matches!(call, Err(Refusal::NoConfiguration)) {
            break call;
        }
        match starting::wait(state, connection).await {
            Waited::Again => {}
            Waited::InVain => break call,
            Waited::Left => return After::Close,
        }
    };
    let after = match call {
        Ok(call) => forward::forward(state, connection, &call).await,
        Err(refusal) => ending::refuse(state, connection, request, refusal).await,
    };
    if request.keeps_alive() && !state.is_stopping.get() {
        return after;
    }
    After::Close
}
