//! Task that reports this gateway's demand and updates the grants to other zones.

use {
    crate::{
        clock,
        message::{self, Datagram},
        metrics::MessageKind,
        state::State,
    },
    std::rc::Rc,
    tokio::net::UdpSocket,
};

/// Interval between checks whether a report or an update is due.
const POLL_INTERVAL_MILLIS: u64 = 25;

/// Sends demand to the digest senders of this zone and updates the grants while this gateway is one
/// of them.
pub async fn run(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        clock::pause(POLL_INTERVAL_MILLIS).await;
        let now = clock::now();
        if let Some((receivers, demand)) = state.poll_demand(now) {
            let bytes = message::encode(&Datagram::Demand(demand));
            for receiver in receivers {
                let metrics = &state.metrics;
                metrics.record_message(MessageKind::Demand, bytes.len());
                // A datagram that is not sent counts as lost; the next report replaces it.
                let _ = socket.try_send_to(&bytes, receiver);
            }
        }
        state.update_grants(now);
    }
}
