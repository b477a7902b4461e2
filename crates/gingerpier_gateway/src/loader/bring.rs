//! Brings the engine to the weights that operators named.

use {
    super::{
        Loader,
        change::{self, Notice, Ordered},
        follow,
    },
    crate::{
        clock,
        weights::{self, fetch, sources::Task},
    },
    gingerpier_base::{Instant, order},
    gingerpier_serving::{
        bringing::{self, Place, Terms},
        dialect::Named,
        report::Version,
    },
    gingerpier_weights::{
        Holders, Route,
        plan::{Plan, Replica, ReplicaKey, Source},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Children of one replica in one chunk's tree.
const FAN_OUT: u32 = 3;

/// Most questions to the origin at once.
const MAX_ORIGIN_TURNS: usize = 2;

/// Milliseconds that one source may take for one chunk while it says that it waits itself: the
/// origin may be down for a while, and a second gateway would only ask it for a second copy.
const PATIENCE_MILLIS: u64 = 10_000;

/// Milliseconds that another loader may take for one chunk while it says that it waits itself.
const TREE_PATIENCE_MILLIS: u64 = 4_000;

/// Chunks asked for at a gateway at once.
const WINDOW: usize = 24;

/// Chunks asked for at other loaders at once.
const TREE_WINDOW: usize = 24;

/// Chunks of a gateway on their way at once: its link is wide, so each fills this machine's link,
/// and requests for the engine wait behind them.
const LINK_TURNS: usize = 2;

/// Chunks of other loaders on their way at once.
const TREE_LINK_TURNS: usize = 6;

/// Other loaders that are asked for what they hold.
const MAX_HOLDERS: usize = 4;

/// Milliseconds after weights were heard of by which manifests are there.
const MANIFEST_LEAD_MILLIS: u64 = 300;

/// Milliseconds for which an engine that is not up is waited for once it is known what others hold: where
/// everything starts, engines come up within some 0.3 s of each other and may hold it, too.
const ENGINE_AWAITED_MILLIS: u64 = 500;

/// Milliseconds between looks at what the engine holds.
const LOOK_MILLIS: u64 = 50;

/// Milliseconds between looks at what other engines hold, while the origin is asked what it has and no gateway is heard.
const REFRESH_MILLIS: u64 = 5_000;

/// Milliseconds after a failed round.
const PAUSE_MILLIS: u64 = 200;

/// Milliseconds after an order that was taken and came to nothing; it doubles with each one that follows. Weights that end
/// each engine which takes them ended one 10 times in 10 s where it was the same each time.
const VAIN_MILLIS: u64 = 500;

/// Most times that it doubles, to 16 s: an engine that ended of something else, again and again, is not left alone.
const MOST_VAIN_DOUBLINGS: u32 = 5;

/// Share of a version's chunks from which on it comes to its end although a newer one was named:
/// gateways, which are ahead, finish a version from the half on.
const WORTH_FINISHING: f64 = 0.25;

/// Weights on their way to the engine.
struct Work {
    named: Named,
    task: actix_rt::task::JoinHandle<()>,
}

impl Work {
    fn is_under_way(&self) -> bool {
        !self.task.is_finished()
    }
}

/// Keeps the engine at the weights that are wanted.
pub async fn keep(loader: Rc<Loader>) {
    let mut works: Vec<Work> = Vec::new();
    let mut awaited: Option<Instant> = None;
    let mut refreshed = clock::now();
    loop {
        clock::pause(LOOK_MILLIS).await;
        works.retain(Work::is_under_way);
        drop_outdated(&loader, &works);
        if is_alone_with_origin(&loader, &works) {
            let next = refreshed.after_millis(REFRESH_MILLIS);
            if next.has_passed(clock::now()) {
                follow::refresh(&loader).await;
                refreshed = clock::now();
            }
        }
        // Weights may come while the engine is not up yet; one that is up tells first what it has.
        let is_there = loader.report.borrow().is_some();
        let Some(wanted) = loader.wanted() else {
            continue;
        };
        // Where nothing is known, an engine that is not up yet may well hold what others will.
        let is_known = wanted.version > Version::default();
        let now = clock::now();
        if is_known {
            awaited.get_or_insert(now.after_millis(ENGINE_AWAITED_MILLIS));
        }
        let is_time = awaited.is_some_and(|awaited| awaited.has_passed(now));
        if !is_there && !is_time {
            continue;
        }
        if !is_missing(&loader, &works, &wanted) {
            continue;
        }
        follow::refresh(&loader).await;
        // Where nothing is named, what others hold may have become known only now.
        let Some(wanted) = loader.wanted() else {
            continue;
        };
        if !is_missing(&loader, &works, &wanted) {
            continue;
        }
        for work in &works {
            if loader.carrier.held_share(&work.named) < WORTH_FINISHING {
                loader.carrier.give_up(&work.named, &work.task);
            }
        }
        let held = loader.held(&wanted.model);
        tracing::info!(version = wanted.version.0, ?held, "weights wanted");
        loader.carrier.wanted.borrow_mut().push(wanted.clone());
        let task = actix_rt::spawn(bring(loader.clone(), wanted.clone()));
        works.push(Work {
            named: wanted,
            task,
        });
    }
}

/// True where the engine lacks `wanted`, and it is not on its way yet.
fn is_missing(loader: &Loader, works: &[Work], wanted: &Named) -> bool {
    let held = loader.held(&wanted.model);
    let is_held = held.is_some_and(|held| held >= wanted.version);
    !is_held && works.iter().all(|work| work.named != *wanted)
}

/// True while what the origin has is on its way here, and no gateway tells what there is.
fn is_alone_with_origin(loader: &Loader, works: &[Work]) -> bool {
    let is_unknown = |work: &Work| work.named.version == Version::default();
    loader.subscribers.borrow().is_empty() && works.iter().any(is_unknown)
}

/// Gives up what is still on its way of versions older than one that is whole here.
fn drop_outdated(loader: &Loader, works: &[Work]) {
    let newest = loader.newest_complete();
    let is_outdated = |work: &&Work| Some(work.named.version) < newest;
    for work in works.iter().filter(is_outdated) {
        if !loader.is_complete(work.named.version) {
            loader.carrier.give_up(&work.named, &work.task);
        }
    }
}

fn terms(loader: &Loader) -> Terms {
    weights::terms(loader.settings.version_within.0)
}

async fn bring(loader: Rc<Loader>, wanted: Named) {
    let named = fetch::fetch(&loader.carrier, || task(&loader, &wanted)).await;
    loader.note_complete(named.version);
    let mut vain = 0;
    loop {
        wait_for_turn(&loader, &named).await;
        // Chunks of one version at a time lie at the engine, until it has taken them.
        let _turn = loader.engine_turn.lock().await;
        let is_held = loader
            .held(&named.model)
            .is_some_and(|held| held >= named.version);
        if is_held || loader.newest_complete() > Some(named.version) {
            return;
        }
        if !is_turn(&loader, &named) {
            // Another order was carried out meanwhile.
            continue;
        }
        let notice = Notice::give(&loader, &named).await;
        let is_laid = change::lay(&loader, &named).await;
        let ordered = match is_laid {
            true => change::order(&loader, &named, &notice).await,
            false => Ordered::NotTaken,
        };
        drop(notice);
        match ordered {
            Ordered::Held => return,
            Ordered::NotTaken => clock::pause(PAUSE_MILLIS).await,
            Ordered::InVain => {
                let pause = VAIN_MILLIS << vain.min(MOST_VAIN_DOUBLINGS);
                vain += 1;
                tracing::warn!(version = named.version.0, vain, pause, "start was in vain");
                clock::pause(pause).await;
            }
        }
    }
}

/// How the weights are fetched: from gateways, or by trees over the loaders where none is heard.
fn task(loader: &Loader, named: &Named) -> Task {
    let port = loader.settings.peers.port();
    let peers = loader.peers();
    let loaders = peers.iter().map(|peer| SocketAddr::new(peer.ip, port));
    let origin = loader.origin();
    let connections = origin.map_or(0, |origin| origin.max_connections as usize);
    let origin_turns = (connections / peers.len()).clamp(1, MAX_ORIGIN_TURNS);
    let by_trees = Task {
        named: named.clone(),
        route: Route::Tree {
            plan: tree(loader, &peers, named),
            own: ReplicaKey(0),
            holders: holders(loader, &peers, named),
        },
        peers: loaders.clone().collect(),
        window: TREE_WINDOW,
        patience_millis: TREE_PATIENCE_MILLIS,
        origin,
        origin_turns,
        link_turns: TREE_LINK_TURNS,
        begins: begins(loader, named),
    };
    let gateways = loader.gateways();
    // Gateways carry what has a number. Where they did not tell of any for long, the origin is asked without them.
    let is_unknown = named.version == Version::default();
    if gateways.is_empty() || is_unknown || !loader.settings.weights_from_gateways {
        return by_trees;
    }
    let carriers = weights::carriers(
        gateways.into_iter(),
        &loader.settings.regions,
        named.version,
    );
    let first_holder = carriers.addresses.len();
    let holders = loaders.skip(1).take(MAX_HOLDERS);
    let addresses: Vec<SocketAddr> = carriers.addresses.into_iter().chain(holders).collect();
    let holder_keys = first_holder..addresses.len();
    // The origin is left to the gateways: many loaders would only share its link.
    let rest = holder_keys.map(|key| Source::Holder(ReplicaKey(key as u32)));
    Task {
        route: Route::Leaf {
            relays: carriers.relays,
            zone: weights::zone_number(&loader.settings.zone),
            rest: rest.collect(),
        },
        peers: addresses,
        window: WINDOW,
        patience_millis: PATIENCE_MILLIS,
        link_turns: LINK_TURNS,
        begins: None,
        ..by_trees
    }
}

/// Loaders whose engines serve `named`: they have what the origin would give.
fn holders(loader: &Loader, peers: &[super::Peer], named: &Named) -> Holders {
    let serving = loader.serving(named);
    let keys = (1..peers.len()).filter(|key| serving.contains(&peers[*key].ip));
    Holders(keys.map(|key| ReplicaKey(key as u32)).collect())
}

fn tree(loader: &Loader, peers: &[super::Peer], named: &Named) -> Plan {
    let replicas: Vec<Replica> = peers
        .iter()
        .map(|peer| Replica {
            identity: peer.identity(),
            region: weights::region(&loader.settings.regions, &peer.zone),
            zone: weights::zone_number(&peer.zone),
        })
        .collect();
    Plan::new(order::mix(named.version.0), &replicas, FAN_OUT)
}

/// When the first chunk of weights that were just named is to be asked for at the origin.
fn begins(loader: &Loader, named: &Named) -> Option<Instant> {
    let heard = loader.heard_of(named)?;
    let begins = heard.after_millis(MANIFEST_LEAD_MILLIS);
    (clock::now().millis_since(heard) < MANIFEST_LEAD_MILLIS).then_some(begins)
}

/// True once the engine may be ordered to take `named`. While it carries out an order nothing is
/// known of what it will hold.
fn is_turn(loader: &Loader, named: &Named) -> bool {
    let held = loader.held(&named.model);
    let known = loader.named(&named.model);
    let complete_at = loader.complete_since(held);
    let turn = bringing::order_at(held, &known, complete_at, place(loader), &terms(loader));
    loader.is_engine_free() && turn.has_passed(clock::now())
}

async fn wait_for_turn(loader: &Loader, named: &Named) {
    while !is_turn(loader, named) {
        clock::pause(LOOK_MILLIS).await;
    }
}

fn place(loader: &Loader) -> Place {
    let peers = loader.peers();
    let members: Vec<u64> = peers.iter().map(super::Peer::identity).collect();
    // This process is first among the peers it knows.
    bringing::place(peers[0].identity(), &members)
}
