//! Sends reports of the engine's load to subscribed gateways.

use {
    super::{Loader, Subscriber},
    crate::{
        client::Client,
        clock,
        message::{self, Datagram, GatewayList, Load, Member, Subscribe},
    },
    gingerpier_base::order,
    gingerpier_serving::{platform_api::ModelVersion, release::Reporter, report::Report},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Least interval between reports.
const MIN_REPORT_INTERVAL_MILLIS: u64 = 50;

/// Longest interval between reports; older reports are of little use to gateways.
const MAX_REPORT_INTERVAL_MILLIS: u64 = 150;

/// Largest fraction of this machine's link for reports; the rest is for engine responses.
const MAX_LINK_FRACTION: f64 = 0.05;

/// Approximate size of a report on the link, including 28 bytes of IP and UDP headers.
const REPORT_SIZE_BYTES: f64 = 110.0;

/// Gateways of other zones receive one of this many reports.
const OTHER_ZONE_REPORT_PERIOD: u64 = 5;

/// One of this many reports carries a gateway list, for each [`MAX_LISTED_GATEWAYS`] gateways; all
/// loaders of the zone send such lists.
const GATEWAY_LIST_PERIOD: u64 = 5;

/// One of this many reports to gateways of other zones carries a gateway list.
const OTHER_ZONE_LIST_PERIOD: u64 = 20;

/// Gateways in one report; limited by the datagram size.
const MAX_LISTED_GATEWAYS: usize = 16;

/// Timeout for a report from the engine.
const ENGINE_TIMEOUT_MILLIS: u64 = 400;

/// Largest report of an engine, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Time after which a subscription expires unless renewed.
const SUBSCRIPTION_TTL_MILLIS: u64 = 2_500;

const MAX_DATAGRAM_BYTES: usize = 1400;

/// Receives subscriptions.
pub async fn receive_subscriptions(loader: Rc<Loader>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut bytes).await else {
            clock::pause(1).await;
            continue;
        };
        if let Some(Datagram::Subscribe(subscribe)) = message::decode(&bytes[..length]) {
            record_subscription(&loader, from, subscribe);
        }
    }
}

fn record_subscription(loader: &Loader, from: SocketAddr, subscribe: Subscribe) {
    for release in subscribe.releases {
        loader.record_peer_release(release, Reporter(order::hash(&from)));
    }
    let mut subscribers = loader.subscribers.borrow_mut();
    let previous = subscribers.get(&from);
    let subscriber = Subscriber {
        zone: subscribe.zone,
        timestamp_millis: subscribe.timestamp_millis,
        last_seen: clock::now(),
        has_gateway_list: previous.is_some_and(|previous| previous.has_gateway_list),
        configuration_version: subscribe.configuration_version,
        weights_digest: subscribe.weights_digest,
        unreleased: subscribe.unreleased,
    };
    let is_new = subscribers.insert(from, subscriber).is_none();
    if is_new {
        loader.urgent_report.notify_one();
    }
}

/// Polls the engine and reports to gateways forever.
pub async fn run(loader: Rc<Loader>, socket: Rc<UdpSocket>) {
    let mut client = Client::of_engine(loader.settings.engine);
    client.max_body_bytes = MAX_REPORT_BYTES;
    let mut round = 0;
    loop {
        let report = poll_engine(&loader, &mut client).await;
        let mut is_changed = store_report(&loader, report);
        round += 1;
        let next = clock::now().after_millis(report_interval_millis(&loader));
        loop {
            send_reports(&loader, &socket, round, is_changed);
            is_changed = true;
            if clock::before(next, loader.urgent_report.notified())
                .await
                .is_none()
            {
                break;
            }
        }
    }
}

/// Interval between reports that keeps their total within [`MAX_LINK_FRACTION`].
fn report_interval_millis(loader: &Loader) -> u64 {
    let bytes = loader.zone_gateway_count() as f64 * REPORT_SIZE_BYTES;
    let link_bytes_per_milli =
        loader.settings.link_bits_per_second as f64 * MAX_LINK_FRACTION / 8_000.0;
    let millis = (bytes / link_bytes_per_milli) as u64;
    millis.clamp(MIN_REPORT_INTERVAL_MILLIS, MAX_REPORT_INTERVAL_MILLIS)
}

async fn poll_engine(loader: &Loader, client: &mut Client) -> Option<Report> {
    let call = loader.platform_api.report();
    let response = client.call(&call, ENGINE_TIMEOUT_MILLIS).await.ok()?;
    match loader
        .platform_api
        .parse_report(response.head.status, &response.body)
    {
        Ok(mut report) => {
            reset_after_restart(loader, &report);
            report.pending_prompt_tokens = loader.unread_tokens(&report);
            Some(report)
        }
        Err(error) => {
            tracing::warn!(cause = %error, "invalid report from the engine");
            None
        }
    }
}

/// Resets the backlog estimate if the engine restarted since its last report.
fn reset_after_restart(loader: &Loader, report: &Report) {
    let last = loader
        .report
        .borrow()
        .as_ref()
        .and_then(|last| last.start_time);
    if last.is_some() && report.start_time.is_some() && last != report.start_time {
        tracing::info!(born = ?report.start_time, ?last, "engine has started again");
        loader.reset_backlog();
    }
}

/// Stores a report; true if the loaded weights or the busy state changed.
fn store_report(loader: &Loader, report: Option<Report>) -> bool {
    let mut last = loader.report.borrow_mut();
    let is_new = match (&*last, &report) {
        (Some(last), Some(report)) => {
            last.loaded != report.loaded || last.is_busy != report.is_busy
        }
        (None, None) => false,
        _ => true,
    };
    if is_new {
        match &report {
            Some(report) => {
                tracing::info!(held = ?report.loaded, busy = report.is_busy, sequence = report.sequence, "engine reports");
            }
            None => tracing::warn!("engine does not answer"),
        }
    }
    *last = report;
    drop(last);
    let served = loader.model().and_then(|model| {
        let version = loader.loaded_version(&model)?;
        Some(ModelVersion { model, version })
    });
    *loader.distributor.served_version.borrow_mut() = served;
    is_new
}

/// One page of the gateway list.
fn gateway_page(subscribers: &BTreeMap<SocketAddr, Subscriber>, page: usize) -> Vec<Member> {
    let count = subscribers.len().max(1);
    let offset = page * MAX_LISTED_GATEWAYS % count;
    let members = subscribers.iter().map(|(address, subscriber)| Member {
        probe: None,
        address: address.to_string(),
        zone: subscriber.zone.clone(),
    });
    let members = members.cycle().skip(offset);
    members.take(count.min(MAX_LISTED_GATEWAYS)).collect()
}

/// Sends gateway lists while the engine is down, so that gateways find each other after a common
/// restart.
fn send_gateway_lists(
    subscribers: &BTreeMap<SocketAddr, Subscriber>,
    socket: &UdpSocket,
    round: u64,
) {
    if !round.is_multiple_of(GATEWAY_LIST_PERIOD)
        && subscribers
            .values()
            .all(|subscriber| subscriber.has_gateway_list)
    {
        return;
    }
    let gateways = gateway_page(subscribers, round as usize);
    let list = message::encode(&Datagram::GatewayList(GatewayList {
        gateways,
        probe: None,
    }));
    for address in subscribers.keys() {
        // A lost datagram is replaced by the next list.
        let _ = socket.try_send_to(&list, *address);
    }
}

/// Reports to gateways of this zone, and to those of other zones periodically or on a change.
fn send_reports(loader: &Loader, socket: &UdpSocket, round: u64, is_changed: bool) {
    let mut subscribers = loader.subscribers.borrow_mut();
    let now = clock::now();
    // Expires also while the engine is down, as subscribers decide whom this loader polls.
    subscribers
        .retain(|_, subscriber| now.millis_since(subscriber.last_seen) < SUBSCRIPTION_TTL_MILLIS);
    let report = loader.report.borrow();
    let Some(report) = report.as_ref() else {
        send_gateway_lists(&subscribers, socket, round);
        return;
    };
    let list_period =
        GATEWAY_LIST_PERIOD * subscribers.len().div_ceil(MAX_LISTED_GATEWAYS).max(1) as u64;
    // Offset by address, so that the loaders of a zone list different gateways.
    let first_page = order::hash(&loader.settings.engine) as usize % MAX_LISTED_GATEWAYS;
    let gateways = gateway_page(&subscribers, first_page + (round / list_period) as usize);
    let mut load = Load::new(loader.settings.engine.to_string(), report);
    load.is_busy |= loader.is_order_pending();
    for (address, subscriber) in subscribers.iter_mut() {
        let is_in_own_zone = subscriber.zone == loader.settings.zone;
        if !is_in_own_zone && !is_changed && !round.is_multiple_of(OTHER_ZONE_REPORT_PERIOD) {
            continue;
        }
        let period = if is_in_own_zone {
            list_period
        } else {
            OTHER_ZONE_LIST_PERIOD
        };
        let includes_list = !subscriber.has_gateway_list || round.is_multiple_of(period);
        subscriber.has_gateway_list = true;
        let load = Load {
            echoed_timestamp_millis: subscriber.timestamp_millis,
            gateways: match includes_list {
                true => gateways.clone(),
                false => Vec::new(),
            },
            ..load.clone()
        };
        // A lost datagram is replaced by the next report.
        let _ = socket.try_send_to(&message::encode(&Datagram::Load(load)), *address);
    }
}
