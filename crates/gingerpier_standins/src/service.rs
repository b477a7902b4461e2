//! Plain service: answers every call with what it was asked, and keeps its history.
//!
//! `GET /history` lists the calls; `POST /control` with `delay_millis` slows them.

use {
    actix_http::Request,
    actix_rt::time::sleep,
    gingerpier_base::Name,
    gingerpier_http::{Answer, Listener, answer, body},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// How the stand-in starts.
#[derive(clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Name given in answers.
    #[arg(long)]
    name: Name,
}

/// One call that ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: String,
}

/// Answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the service.
    pub service: Name,
    /// The call.
    pub call: Call,
}

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Milliseconds before a call is answered.
    pub delay_millis: u64,
}

#[derive(Default)]
struct State {
    history: Vec<Call>,
    control: Control,
}

/// Runs the stand-in.
///
/// # Errors
///
/// Where the address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let listener = Listener::bind(options.listen)?;
    crate::ready(listener.address());
    let state = Rc::new(RefCell::new(State::default()));
    let name = options.name;
    listener
        .serve(move |request| handle(state.clone(), name.clone(), request))
        .await;
    Ok(())
}

async fn handle(state: Rc<RefCell<State>>, service: Name, mut request: Request) -> Answer {
    if request.path() == "/history" {
        return answer::json(200, &state.borrow().history);
    }
    let read = match body::read(&mut request, crate::LONGEST_BODY).await {
        Ok(read) => read,
        Err(error) => return answer::text(error.status(), &error.to_string()),
    };
    if request.path() == "/control" {
        if let Ok(control) = serde_json::from_slice(&read) {
            state.borrow_mut().control = control;
        }
        return answer::empty(204);
    }
    let call = Call {
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body: String::from_utf8_lossy(&read).into_owned(),
    };
    state.borrow_mut().history.push(call.clone());
    let delay = state.borrow().control.delay_millis;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    answer::json(200, &Echo { service, call })
}
