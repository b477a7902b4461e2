//! Reports of the engine's load, to the gateways that asked for them.

use {
    super::{Loader, Subscriber},
    crate::{
        clock,
        message::{self, Datagram, Load, Member, Subscribe},
        store::Client,
    },
    gingerpier_serving::{
        dialect::Named,
        report::{Report, Version},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between reports.
const REPORT_EVERY_MILLIS: u64 = 50;

/// Reports of which gateways of other zones get one.
const AFAR_EVERY: u64 = 5;

/// Reports of which one names the gateways.
const GATEWAYS_EVERY: u64 = 20;

/// Milliseconds that the engine may take.
const ENGINE_MILLIS: u64 = 400;

/// Milliseconds after which a gateway that does not ask again gets nothing.
const SUBSCRIPTION_MILLIS: u64 = 2_500;

/// Longest datagram.
const MAX_DATAGRAM: usize = 1400;

/// Takes subscriptions.
pub async fn take(loader: Rc<Loader>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else {
            clock::pause(1).await;
            continue;
        };
        if let Some(Datagram::Subscribe(subscribe)) = message::decode(&bytes[..length]) {
            note(&loader, from, subscribe);
        }
    }
}

fn note(loader: &Loader, from: SocketAddr, subscribe: Subscribe) {
    for weights in subscribe.named {
        loader.note_named(&Named {
            model: weights.model,
            version: Version(weights.version),
        });
    }
    let subscriber = Subscriber {
        zone: subscribe.zone,
        stamp: subscribe.stamp,
        at: clock::now(),
    };
    loader.subscribers.borrow_mut().insert(from, subscriber);
}

/// Asks the engine and tells the gateways, again and again.
pub async fn send(loader: Rc<Loader>, socket: Rc<UdpSocket>) {
    let mut client = Client::new(loader.settings.engine);
    let mut turn = 0;
    loop {
        let report = ask(&loader, &mut client).await;
        note_report(&loader, report);
        turn += 1;
        tell(&loader, &socket, turn);
        clock::pause(REPORT_EVERY_MILLIS).await;
    }
}

async fn ask(loader: &Loader, client: &mut Client) -> Option<Report> {
    let call = loader.dialect.report();
    let whole = client.call(&call, ENGINE_MILLIS).await.ok()?;
    match loader.dialect.read_report(whole.head.status, &whole.body) {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(cause = %error, "report of the engine not understood");
            None
        }
    }
}

fn note_report(loader: &Loader, report: Option<Report>) {
    let mut last = loader.report.borrow_mut();
    let is_new = match (&*last, &report) {
        (Some(last), Some(report)) => last.held != report.held || last.is_busy != report.is_busy,
        (None, None) => false,
        _ => true,
    };
    if is_new {
        match &report {
            Some(report) => {
                tracing::info!(held = ?report.held, busy = report.is_busy, sequence = report.sequence, "engine reports");
            }
            None => tracing::warn!("engine does not answer"),
        }
    }
    *last = report;
    drop(last);
    let served = loader.model().and_then(|model| {
        let version = loader.held(&model)?;
        Some(Named { model, version })
    });
    *loader.carrier.served.borrow_mut() = served;
}

fn member((address, subscriber): (&SocketAddr, &Subscriber)) -> Member {
    Member {
        address: address.to_string(),
        zone: subscriber.zone.clone(),
    }
}

fn tell(loader: &Loader, socket: &UdpSocket, turn: u64) {
    let report = loader.report.borrow();
    let Some(report) = report.as_ref() else {
        return;
    };
    let mut subscribers = loader.subscribers.borrow_mut();
    let now = clock::now();
    subscribers.retain(|_, subscriber| now.millis_since(subscriber.at) < SUBSCRIPTION_MILLIS);
    let gateways = match turn % GATEWAYS_EVERY {
        0 => subscribers.iter().map(member).collect(),
        _ => Vec::new(),
    };
    let mut load = Load::new(loader.settings.engine.to_string(), report, gateways);
    load.is_busy |= loader.is_ordering.get();
    let mut message = Datagram::Load(load);
    for (address, subscriber) in subscribers.iter() {
        if subscriber.zone == loader.settings.zone || turn.is_multiple_of(AFAR_EVERY) {
            if let Datagram::Load(load) = &mut message {
                load.echo = subscriber.stamp;
            }
            // A datagram that can't be sent is as good as lost; the next one follows.
            let _ = socket.try_send_to(&message::encode(&message), *address);
        }
    }
}
