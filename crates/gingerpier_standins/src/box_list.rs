//! List of live and leaving boxes, which lags.
//!
//! `PUT /boxes` sets the list; `GET /boxes` gives it as it was some time ago.

use {
    actix_http::{Method, Request},
    actix_rt::time::Instant,
    gingerpier_http::{Answer, Listener, answer, body},
    serde_json::{Value, json},
    std::{cell::RefCell, collections::VecDeque, io, net::SocketAddr, rc::Rc, time::Duration},
};

/// How the stand-in starts.
#[derive(clap::Args)]
pub struct Options {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Milliseconds by which the list lags.
    #[arg(long, default_value_t = 0)]
    lag_millis: u64,
}

struct State {
    lag: Duration,
    /// Lists with the instants from which they are shown.
    lists: VecDeque<(Instant, Value)>,
}

/// Runs the stand-in.
///
/// # Errors
///
/// Where the address is taken.
pub async fn run(options: Options) -> io::Result<()> {
    let listener = Listener::bind(options.listen)?;
    crate::ready(listener.address());
    let lists = VecDeque::from([(Instant::now(), json!({ "boxes": [] }))]);
    let lag = Duration::from_millis(options.lag_millis);
    let state = Rc::new(RefCell::new(State { lag, lists }));
    listener
        .serve(move |request| handle(state.clone(), request))
        .await;
    Ok(())
}

async fn handle(state: Rc<RefCell<State>>, mut request: Request) -> Answer {
    if request.method() != Method::PUT {
        return answer::json(200, state.borrow_mut().shown());
    }
    match body::json(&mut request, crate::LONGEST_BODY).await {
        Ok(list) => {
            let mut state = state.borrow_mut();
            let shown_from = Instant::now() + state.lag;
            state.lists.push_back((shown_from, list));
            answer::empty(204)
        }
        Err(error) => answer::text(error.status(), &error.to_string()),
    }
}

impl State {
    fn shown(&mut self) -> &Value {
        let now = Instant::now();
        while self
            .lists
            .get(1)
            .is_some_and(|(shown_from, _)| *shown_from <= now)
        {
            self.lists.pop_front();
        }
        &self.lists[0].1
    }
}
