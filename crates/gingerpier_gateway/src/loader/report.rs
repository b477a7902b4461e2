//! Reports of the engine's load, to the gateways that asked for them.

use {
    super::{Loader, Subscriber},
    crate::{
        client::Client,
        clock,
        message::{self, Datagram, Load, Member, Names, Subscribe},
    },
    gingerpier_base::order,
    gingerpier_serving::{dialect::Named, naming::Teller, report::Report},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Least milliseconds between reports.
const REPORT_EVERY_MILLIS: u64 = 50;

/// Most milliseconds between reports, however many gateways there are: what is older tells little.
const REPORT_AT_LEAST_EVERY_MILLIS: u64 = 150;

/// Share of this machine's link that reports may take; it is there for engines' answers.
const LINK_SHARE: f64 = 0.05;

/// Bytes of a report on the link: some 80 of the message, and 28 of its headers.
const REPORT_BYTES: f64 = 110.0;

/// Reports of which gateways of other zones get one.
const AFAR_EVERY: u64 = 5;

/// Reports of which one names gateways, for each [`GATEWAYS_NAMED`] that there are: all other loaders
/// of the zone name them, too.
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
    for naming in subscribe.named {
        loader.take_naming(naming, Teller(order::hash(&from)));
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
        unnamed: subscribe.unnamed,
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
        let next = clock::now().after_millis(report_every(&loader));
        loop {
            tell(&loader, &socket, turn, is_news);
            is_news = true;
            if clock::before(next, loader.news.notified()).await.is_none() {
                break;
            }
        }
    }
}

/// Milliseconds to the next report: so many that reports leave the link to answers.
fn report_every(loader: &Loader) -> u64 {
    let bytes = loader.near_gateway_count() as f64 * REPORT_BYTES;
    let bytes_per_milli = loader.settings.link_bits_per_second as f64 * LINK_SHARE / 8_000.0;
    let millis = (bytes / bytes_per_milli) as u64;
    millis.clamp(REPORT_EVERY_MILLIS, REPORT_AT_LEAST_EVERY_MILLIS)
}

async fn ask(loader: &Loader, client: &mut Client) -> Option<Report> {
    let call = loader.dialect.report();
    let whole = client.call(&call, ENGINE_MILLIS).await.ok()?;
    match loader.dialect.read_report(whole.head.status, &whole.body) {
        Ok(mut report) => {
            note_start(loader, &report);
            report.unread_tokens = loader.unread_tokens(&report);
            Some(report)
        }
        Err(error) => {
            tracing::warn!(cause = %error, "report of the engine not understood");
            None
        }
    }
}

/// Notes that the engine started again since its last report: what it had admitted is gone. Its weights are missed by the
/// report itself, and its orders count from that.
fn note_start(loader: &Loader, report: &Report) {
    let last = loader.report.borrow().as_ref().and_then(|last| last.born);
    if last.is_some() && report.born.is_some() && last != report.born {
        tracing::info!(born = ?report.born, ?last, "engine has started again");
        loader.forget_backlog();
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

/// Some of the gateways, others at each round.
fn gateways(subscribers: &BTreeMap<SocketAddr, Subscriber>, round: usize) -> Vec<Member> {
    let count = subscribers.len().max(1);
    let skipped = round * GATEWAYS_NAMED % count;
    let members = subscribers.iter().map(|(address, subscriber)| Member {
        probe: None,
        address: address.to_string(),
        zone: subscriber.zone.clone(),
    });
    let members = members.cycle().skip(skipped);
    members.take(count.min(GATEWAYS_NAMED)).collect()
}

/// Names gateways to each other while the engine does not answer: after a restart of everything they know
/// nobody.
fn name_gateways(subscribers: &BTreeMap<SocketAddr, Subscriber>, socket: &UdpSocket, turn: u64) {
    if !turn.is_multiple_of(GATEWAYS_EVERY) && subscribers.values().all(|one| one.has_gateways) {
        return;
    }
    let gateways = gateways(subscribers, turn as usize);
    let names = message::encode(&Datagram::Names(Names {
        gateways,
        probe: None,
    }));
    for address in subscribers.keys() {
        // A datagram that can't be sent is as good as lost; the next one follows.
        let _ = socket.try_send_to(&names, *address);
    }
}

/// Tells the gateways of this zone, and those of other zones now and then or where there is news.
fn tell(loader: &Loader, socket: &UdpSocket, turn: u64, is_news: bool) {
    let mut subscribers = loader.subscribers.borrow_mut();
    let now = clock::now();
    // Also beside an engine that is not up: who is heard decides whom this loader asks.
    subscribers.retain(|_, subscriber| now.millis_since(subscriber.at) < SUBSCRIPTION_MILLIS);
    let report = loader.report.borrow();
    let Some(report) = report.as_ref() else {
        name_gateways(&subscribers, socket, turn);
        return;
    };
    let names_every = GATEWAYS_EVERY * subscribers.len().div_ceil(GATEWAYS_NAMED).max(1) as u64;
    // Loaders of one zone name other gateways at the same time.
    let start = order::hash(&loader.settings.engine) as usize % GATEWAYS_NAMED;
    let gateways = gateways(&subscribers, start + (turn / names_every) as usize);
    let mut load = Load::new(loader.settings.engine.to_string(), report);
    load.is_busy |= loader.is_ordering();
    for (address, subscriber) in subscribers.iter_mut() {
        let is_near = subscriber.zone == loader.settings.zone;
        if !is_near && !is_news && !turn.is_multiple_of(AFAR_EVERY) {
            continue;
        }
        let every = if is_near {
            names_every
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
