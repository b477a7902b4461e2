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
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Milliseconds between reports.
const REPORT_EVERY_MILLIS: u64 = 50;

/// Reports of which gateways of other zones get one.
const AFAR_EVERY: u64 = 5;

/// Reports of which one names gateways to those of this zone.
const GATEWAYS_EVERY: u64 = 5;

/// Reports of which one names gateways to those of other zones.
const GATEWAYS_AFAR_EVERY: u64 = 20;

/// Gateways that one report names: more would not fit into a datagram.
const GATEWAYS_NAMED: usize = 16;

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
    let mut subscribers = loader.subscribers.borrow_mut();
    let known = subscribers.get(&from);
    let subscriber = Subscriber {
        zone: subscribe.zone,
        stamp: subscribe.stamp,
        at: clock::now(),
        has_gateways: known.is_some_and(|known| known.has_gateways),
        configuration: subscribe.configuration,
        weights_digest: subscribe.weights_digest,
    };
    let is_new = subscribers.insert(from, subscriber).is_none();
    if is_new {
        loader.news.notify_one();
    }
}

/// Asks the engine and tells the gateways, again and again.
pub async fn send(loader: Rc<Loader>, socket: Rc<UdpSocket>) {
    let mut client = Client::new(loader.settings.engine);
    let mut turn = 0;
    loop {
        let report = ask(&loader, &mut client).await;
        let mut is_news = note_report(&loader, report);
        turn += 1;
        let next = clock::now().after_millis(REPORT_EVERY_MILLIS);
        loop {
            tell(&loader, &socket, turn, is_news);
            is_news = true;
            if clock::before(next, loader.news.notified()).await.is_none() {
                break;
            }
        }
    }
}

async fn ask(loader: &Loader, client: &mut Client) -> Option<Report> {
    let call = loader.dialect.report();
    let whole = client.call(&call, ENGINE_MILLIS).await.ok()?;
    match loader.dialect.read_report(whole.head.status, &whole.body) {
        Ok(mut report) => {
            report.unread_tokens = loader.unread_tokens(&report);
            Some(report)
        }
        Err(error) => {
            tracing::warn!(cause = %error, "report of the engine not understood");
            None
        }
    }
}

/// Notes a report; true where the engine's weights or its readiness for work changed.
fn note_report(loader: &Loader, report: Option<Report>) -> bool {
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
    is_new
}

/// Some of the gateways, others at each turn.
fn gateways(subscribers: &BTreeMap<SocketAddr, Subscriber>, turn: u64) -> Vec<Member> {
    let count = subscribers.len().max(1);
    let skipped = (turn / GATEWAYS_EVERY) as usize * GATEWAYS_NAMED % count;
    let members = subscribers.iter().map(|(address, subscriber)| Member {
        address: address.to_string(),
        zone: subscriber.zone.clone(),
    });
    let members = members.cycle().skip(skipped);
    members.take(count.min(GATEWAYS_NAMED)).collect()
}

/// Tells the gateways of this zone, and those of other zones now and then or where there is news.
fn tell(loader: &Loader, socket: &UdpSocket, turn: u64, is_news: bool) {
    let report = loader.report.borrow();
    let Some(report) = report.as_ref() else {
        return;
    };
    let mut subscribers = loader.subscribers.borrow_mut();
    let now = clock::now();
    subscribers.retain(|_, subscriber| now.millis_since(subscriber.at) < SUBSCRIPTION_MILLIS);
    let gateways = gateways(&subscribers, turn);
    let mut load = Load::new(loader.settings.engine.to_string(), report);
    load.is_busy |= loader.is_ordering();
    for (address, subscriber) in subscribers.iter_mut() {
        let is_near = subscriber.zone == loader.settings.zone;
        if !is_near && !is_news && !turn.is_multiple_of(AFAR_EVERY) {
            continue;
        }
        let every = if is_near {
            GATEWAYS_EVERY
        } else {
            GATEWAYS_AFAR_EVERY
        };
        let names_gateways = !subscriber.has_gateways || turn.is_multiple_of(every);
        subscriber.has_gateways = true;
        let load = Load {
            echo: subscriber.stamp,
            gateways: match names_gateways {
                true => gateways.clone(),
                false => Vec::new(),
            },
            ..load.clone()
        };
        // A datagram that can't be sent is as good as lost; the next one follows.
        let _ = socket.try_send_to(&message::encode(&Datagram::Load(load)), *address);
    }
}
