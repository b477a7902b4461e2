//! How long callers wait, as gateways that start learn it from others of their zone.
//!
//! Who came back is told from new callers by that, and it is learnt while hardly anybody is refused. A gateway that starts
//! into an overload would not know it until that is over.

use {
    crate::{
        client::Client,
        clock,
        message::{self, RouteWaits, Waits},
        state::State,
    },
    gingerpier_serving::dialect::Call,
    std::{net::SocketAddr, rc::Rc},
};

/// Path of the question.
pub const PATH: &str = "/waits";

/// Milliseconds between questions.
const ASK_EVERY_MILLIS: u64 = 500;

/// Questions in all: others that started at the same moment know nothing either.
const TRIES: u32 = 6;

/// Milliseconds that an answer may take.
const ANSWER_MILLIS: u64 = 400;

/// Answer to another gateway.
pub fn reply(state: &State) -> Vec<u8> {
    message::encode(&Waits {
        routes: state.learnt_waits(),
    })
}

/// Asks others until one of them has learnt something.
pub async fn learn(state: Rc<State>) {
    for _ in 0..TRIES {
        clock::pause(ASK_EVERY_MILLIS).await;
        let neighbours = state.neighbours();
        let Some(neighbour) = fastrand::choice(neighbours) else {
            continue;
        };
        let Some(routes) = ask(neighbour).await.filter(|routes| !routes.is_empty()) else {
            continue;
        };
        tracing::info!(routes = routes.len(), peer = %neighbour, "callers' waits taken from a gateway");
        return state.take_waits(routes);
    }
}

async fn ask(neighbour: SocketAddr) -> Option<Vec<RouteWaits>> {
    let mut client = Client::of_gateway(neighbour);
    let call = Call::get(PATH.to_owned());
    // Another one is asked next where this one does not answer.
    let whole = client.call(&call, ANSWER_MILLIS).await.ok()?;
    let waits: Waits = message::decode(&whole.body).filter(|_| whole.head.status == 200)?;
    Some(waits.routes)
}
