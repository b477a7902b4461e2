//! Server side of the proxy: callers' connections and their requests.

pub mod attempt;
pub mod body;
pub mod buffered;
pub mod caller;
pub mod completion;
pub mod engine_choice;
pub mod error_response;
pub mod forward;
pub mod handover;
pub mod priority;
pub mod request;
pub mod startup;
pub mod stream;
pub mod trial;

use {
    crate::{clock, state::State},
    body::BodyError,
    caller::{Caller, Sent},
    error_response::ErrorResponse,
    gingerpier_base::Instant,
    gingerpier_http1::{connection::Connection, error::Error, head::Request},
    gingerpier_serving::configuration::Limits,
    request::RoutedRequest,
    startup::StartupWait,
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_MILLIS: u64 = 5;

/// Interim response to a caller that waits for it before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Retry delay for a request whose body found no memory.
const NO_MEMORY_RETRY_SECONDS: f64 = 1.0;

/// Whether a connection stays open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Persistence {
    /// The connection serves another request.
    KeepAlive,
    /// The connection closes.
    Close,
}

/// Accepts connections and serves each in its own task.
pub async fn accept(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                let caller = Caller::new(Connection::new(stream));
                actix_rt::spawn(async move { serve(&state, caller).await });
            }
            Err(_) => clock::pause(ACCEPT_RETRY_MILLIS).await,
        }
    }
}

/// Guard that counts a request as active until it is dropped.
struct ActiveRequest<'a>(&'a State);

impl<'a> ActiveRequest<'a> {
    fn new(state: &'a State) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self(state)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0
            .active_requests
            .set(self.0.active_requests.get().saturating_sub(1));
    }
}

async fn serve(state: &Rc<State>, mut caller: Caller) {
    loop {
        caller.begin_request();
        let limits = state
            .configuration()
            .map_or_else(Limits::default, |configuration| configuration.limits);
        let head = tokio::select! {
            biased;
            head = read_head(&mut caller, &limits) => head,
            () = closed(state), if caller.input().is_empty() => return,
        };
        let head = match head {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                refuse_malformed(&mut caller, error).await;
                return;
            }
        };
        let received = clock::now();
        let _active = ActiveRequest::new(state);
        if serve_one(state, &mut caller, &head, received, &limits).await == Persistence::Close {
            caller.shutdown().await;
            return;
        }
        if !caller.input().is_empty() {
            // A client that pipelines requests gets one at a time, as other connections wait.
            tokio::task::yield_now().await;
        }
    }
}

/// Completes once the gateway accepts no more requests, which closes idle connections.
async fn closed(state: &State) {
    let closing = state.closing.notified();
    if !state.is_closed.get() {
        closing.await;
    }
}

/// Reads a request head; `None` if the caller closes the connection or a timeout passes.
async fn read_head(caller: &mut Caller, limits: &Limits) -> Result<Option<Request>, Error> {
    let mut deadline = clock::now().after_millis(limits.idle_timeout_millis);
    let mut has_begun = false;
    loop {
        if !caller.input().is_empty() {
            if let Some(request) = Request::parse(caller.input(), limits.max_head_bytes)? {
                return Ok(Some(request));
            }
            if !has_begun {
                has_begun = true;
                deadline = clock::now().after_millis(limits.head_timeout_millis);
            }
        }
        match clock::before(deadline, caller.read()).await {
            Some(Ok(true)) => {}
            _ => return Ok(None),
        }
    }
}

async fn refuse_malformed(caller: &mut Caller, error: Error) {
    let response = match error {
        Error::HeadTooLong => ErrorResponse::HeadTooLong,
        _ => ErrorResponse::Malformed,
    };
    tracing::warn!(cause = %error, "malformed request refused");
    respond_closing(caller, response).await;
    caller.shutdown().await;
}

/// Responds to a request whose body could not be read; the connection closes after it.
async fn refuse_body(state: &State, caller: &mut Caller, head: &Request, error: BodyError) {
    let response = match error {
        BodyError::Http(Error::BodyTooLong) => ErrorResponse::BodyTooLong,
        BodyError::Http(Error::Cut) | BodyError::Stalled => return,
        BodyError::Http(error) => return refuse_malformed(caller, error).await,
        BodyError::NoMemory => {
            let error = ErrorResponse::NotRun {
                retry_after: NO_MEMORY_RETRY_SECONDS,
            };
            completion::refuse(state, caller, head, error, Persistence::Close).await;
            return;
        }
        BodyError::Refused(error) => {
            completion::refuse(state, caller, head, error, Persistence::Close).await;
            return;
        }
    };
    respond_closing(caller, response).await;
}

/// Writes an error response that announces the end of its connection. Whether the caller takes it
/// makes no difference, as the connection closes.
async fn respond_closing(caller: &mut Caller, response: ErrorResponse) {
    let bytes = error_response::encode_closing(response);
    let _ = caller.respond(&bytes).await;
}

async fn serve_one(
    state: &Rc<State>,
    caller: &mut Caller,
    head: &Request,
    received: Instant,
    limits: &Limits,
) -> Persistence {
    let Ok(framing) = head.framing() else {
        refuse_malformed(caller, Error::Framing).await;
        return Persistence::Close;
    };
    if head.fields.lists("expect", "100-continue") {
        let written = caller.respond_interim(CONTINUE).await;
        if written.is_err() {
            return Persistence::Close;
        }
    }
    let body = body::read(state, caller, head, framing, limits, received).await;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            refuse_body(state, caller, head, error).await;
            return Persistence::Close;
        }
    };
    let request = loop {
        let request = RoutedRequest::read(state, head, &body, received);
        if !matches!(request, Err(ErrorResponse::NoConfiguration)) {
            break request;
        }
        match startup::wait(state, caller).await {
            StartupWait::Retry => {}
            StartupWait::Expired => break request,
            StartupWait::Disconnected => return Persistence::Close,
        }
    };
    match request {
        Ok(request) => forward::forward(state, caller, &request).await,
        Err(error) => completion::refuse(state, caller, head, error, Persistence::KeepAlive).await,
    }
    let is_complete = caller.sent() == Sent::Complete;
    match is_complete && head.keeps_alive() && !state.is_stopping() {
        true => Persistence::KeepAlive,
        false => Persistence::Close,
    }
}
