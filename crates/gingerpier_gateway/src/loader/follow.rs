//! What a loader learns of services, engines and named weights: from gateways, and with few calls
//! from the store where these are not heard.

use {
    super::Loader,
    crate::{client::Client, clock, error::Error, figures, store},
    gingerpier_base::order,
    gingerpier_serving::{
        asking::{Asking, Knowledge, Source, Step},
        dialect::{Fact, Scope, Watched},
        fleet::Fleet,
        mirror::{Item, Revision},
        naming::{OWN, Teller},
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Milliseconds that a watch waits.
const WATCH_MILLIS: u64 = 20_000;

/// Milliseconds between watches, so that many changes cost one call, and a store that forgets its history
/// at once is not read without a pause.
const PAUSE_MILLIS: u64 = 400;

/// Milliseconds between looks at which gateways are heard.
const LOOK_MILLIS: u64 = 100;

/// Gateways that are asked for the engines before the store is.
const ENGINE_TRIES: usize = 2;

/// Follows what operators write.
///
/// A configuration may be large, and there are many loaders: they ask gateways for what they need of
/// it. Named weights a loader watches itself only where few gateways tell it of them: the store
/// counts each watch.
pub async fn follow(loader: Rc<Loader>) {
    let settings = &loader.settings;
    let mut asking = Asking::new(settings.peers, settings.regions.len(), clock::now());
    let mut client = store::client(settings.store, loader.dialect);
    let mut is_in_step = false;
    loop {
        match next(&loader, &mut asking) {
            Step::Gateway(gateway) => {
                let answer = ask(&loader, gateway).await;
                note(&loader, &mut asking, Source::Gateway, answer);
            }
            Step::Store => {
                // A gateway that is heard meanwhile tells the same in a hundredth of the bytes. Those that are
                // heard already have failed.
                let hears_nobody = loader.tellers().is_empty();
                let answer = tokio::select! {
                    answer = read(&loader, &mut client, Scope::Operators) => answer,
                    () = until_told(&loader), if hears_nobody => continue,
                };
                is_in_step = answer.is_ok();
                note(&loader, &mut asking, Source::Store, answer);
            }
            Step::Weights if !is_in_step => {
                let answer = read(&loader, &mut client, Scope::Weights).await;
                is_in_step = answer.is_ok();
                note_store(&mut asking, answer);
            }
            Step::Weights => {
                let scope = scope(&loader);
                let watched = tokio::select! {
                    watched = watch(&loader, &mut client, scope) => Some(watched),
                    () = until_other_work(&loader, &mut asking, scope) => None,
                };
                if let Some(watched) = watched {
                    is_in_step = matches!(watched, Ok(true));
                    note_store(&mut asking, watched.map(drop));
                    clock::pause(PAUSE_MILLIS).await;
                }
            }
            Step::Wait(until) => {
                let look = clock::now().after_millis(LOOK_MILLIS);
                clock::until(until.min(look)).await;
            }
        }
    }
}

fn next(loader: &Loader, asking: &mut Asking) -> Step {
    let tellers = loader.tellers();
    asking.next(&loader.heard(&tellers), clock::now())
}

/// What a watch covers. Where no gateway is heard it tells of the next configurations, too; one that
/// was written just before is told by the next gateway that is heard.
fn scope(loader: &Loader) -> Scope {
    match loader.subscribers.borrow().is_empty() {
        true => Scope::Operators,
        false => Scope::Weights,
    }
}

/// Returns once a gateway is heard that can tell the figures.
async fn until_told(loader: &Loader) {
    while loader.tellers().is_empty() {
        clock::pause(LOOK_MILLIS).await;
    }
}

/// Returns once the figures are to be asked for, or a watch of `scope` is wider than it has to be: all
/// loaders would get the next configuration at once.
async fn until_other_work(loader: &Loader, asking: &mut Asking, scope: Scope) {
    loop {
        let is_due = matches!(next(loader, asking), Step::Gateway(_) | Step::Store);
        let is_too_wide = scope == Scope::Operators && self::scope(loader) == Scope::Weights;
        if is_due || is_too_wide {
            return;
        }
        clock::pause(LOOK_MILLIS).await;
    }
}

/// Notes how a question for figures ended. An answer that says less than gateways know is none.
fn note(loader: &Loader, asking: &mut Asking, source: Source, answer: Result<(), Error>) {
    let knowledge = loader.knowledge();
    match &answer {
        Ok(()) if knowledge == Knowledge::Enough => return asking.note_answer(source),
        Ok(()) => tracing::warn!(?source, ?knowledge, "figures are not enough"),
        Err(error) => tracing::warn!(?source, cause = %error, "no figures"),
    }
    asking.note_failure(source, clock::now(), fastrand::u64(..));
}

/// Notes how a question to the store for named weights ended.
fn note_store(asking: &mut Asking, answer: Result<(), Error>) {
    match answer {
        Ok(()) => asking.note_answer(Source::Weights),
        Err(error) => {
            tracing::warn!(cause = %error, "store does not answer");
            asking.note_failure(Source::Weights, clock::now(), fastrand::u64(..));
        }
    }
}

async fn ask(loader: &Loader, gateway: SocketAddr) -> Result<(), Error> {
    let told = figures::ask(gateway).await?;
    loader.note_services(told.services);
    // It tells the age more roughly here than where it wants reports.
    let teller = Teller(!order::hash(&gateway));
    for naming in told.named {
        loader.take_naming(naming, teller);
    }
    *loader.fleet.borrow_mut() = told.fleet;
    Ok(())
}

/// Learns anew who the engines are: from a gateway, or by an old answer of the store.
pub async fn refresh(loader: &Loader) {
    let mut tellers = loader.tellers();
    fastrand::shuffle(&mut tellers);
    for gateway in tellers.into_iter().take(ENGINE_TRIES) {
        match ask(loader, gateway).await {
            Ok(()) => return,
            Err(error) => tracing::warn!(cause = %error, "a gateway does not tell of engines"),
        }
    }
    let mut client = store::client(loader.settings.store, loader.dialect);
    match store::read_all(&mut client, loader.dialect, Scope::Engines, true).await {
        Ok(copy) => {
            let mut fleet = Fleet::default();
            loader.name_services(&mut fleet);
            for item in &copy.items {
                list(loader, &mut fleet, item);
            }
            *loader.fleet.borrow_mut() = fleet;
        }
        Err(error) => tracing::warn!(cause = %error, "engines not read anew"),
    }
}

fn list(loader: &Loader, fleet: &mut Fleet, item: &Item) {
    if let Some(Fact::Engine(record)) = loader.items.read(item) {
        fleet.list(*record, item.revision);
    }
}

async fn read(loader: &Loader, client: &mut Client, scope: Scope) -> Result<(), Error> {
    let copy = store::read_all(client, loader.dialect, scope, false).await?;
    take(loader, &copy.items, copy.at);
    Ok(())
}

/// Watches `scope`; false where it has to be read anew.
async fn watch(loader: &Loader, client: &mut Client, scope: Scope) -> Result<bool, Error> {
    let after = loader.at.get();
    match store::watch(client, loader.dialect, scope, after, WATCH_MILLIS).await? {
        Watched::HistoryGone => Ok(false),
        Watched::Changes(page) => {
            take(loader, &page.items, page.at);
            Ok(true)
        }
    }
}

fn take(loader: &Loader, items: &[Item], at: Revision) {
    for item in items {
        match loader.items.read(item) {
            Some(Fact::Configuration(configuration)) => {
                loader.note_services(configuration.services_part().for_loaders());
            }
            // Gateways that send requests here tell when the bound began; without any of them nothing starts.
            Some(Fact::Weights(named)) => loader.note_named(&named, OWN, 0),
            Some(Fact::Engine(_) | Fact::Evacuation(_) | Fact::Other) | None => {}
        }
    }
    loader.at.set(loader.at.get().max(at));
}
