//! What a loader learns from the store: few calls, since gateways tell it of new weights, too.

use {
    super::Loader,
    crate::{
        clock,
        error::Error,
        store::{self, Client},
    },
    gingerpier_serving::{
        dialect::{Fact, Scope, Subject, Watched},
        fleet::Fleet,
        mirror::{Changes, Item},
    },
    std::rc::Rc,
};

/// Milliseconds that a watch waits.
const WATCH_MILLIS: u64 = 20_000;

/// Milliseconds between looks at whether gateways still tell what operators write.
const LOOK_MILLIS: u64 = 250;

/// Milliseconds after a failed call.
const RETRY_MILLIS: u64 = 500;

/// Follows what operators write.
///
/// A configuration may be large, and there are many loaders: one that gateways tell of it reads it
/// once, and again only where what it needs of it has changed. Named weights it watches itself only
/// where few gateways tell it of them: the store counts each watch, and there are more loaders than
/// anything else.
pub async fn follow(loader: Rc<Loader>) {
    let mut client = Client::new(loader.settings.store);
    let mut in_step = None;
    loop {
        if in_step.is_some() && loader.is_told_by_many() {
            clock::pause(LOOK_MILLIS).await;
            continue;
        }
        let scope = match loader.is_told_enough() {
            true => Scope::Weights,
            false => Scope::Operators,
        };
        // What was watched more narrowly has to be read before it is watched more widely.
        let is_covered = in_step.is_some_and(|last| last == scope || scope == Scope::Weights);
        let step = if is_covered {
            watch(&loader, &mut client, scope).await
        } else {
            read(&loader, &mut client).await.map(|()| true)
        };
        match step {
            Ok(next) => in_step = next.then_some(scope),
            Err(error) => {
                in_step = None;
                tracing::warn!(cause = %error, "store does not answer");
                clock::pause(RETRY_MILLIS + fastrand::u64(..RETRY_MILLIS)).await;
            }
        }
    }
}

/// Reads engines anew. An old answer will do, and may be older than what the watch has brought:
/// only the list of engines is taken from it.
pub async fn refresh(loader: &Loader) {
    let mut client = Client::new(loader.settings.store);
    match store::read_all(&mut client, loader.dialect, Scope::Engines, true).await {
        Ok(copy) => {
            let mut fleet = Fleet::default();
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

async fn read(loader: &Loader, client: &mut Client) -> Result<(), Error> {
    let copy = store::read_all(client, loader.dialect, Scope::Everything, false).await?;
    let news = loader.mirror.borrow_mut().replace(copy.items, copy.at);
    take(loader, news);
    Ok(())
}

async fn watch(loader: &Loader, client: &mut Client, scope: Scope) -> Result<bool, Error> {
    let after = loader.mirror.borrow().at();
    let dialect = loader.dialect;
    match store::watch(client, dialect, scope, after, WATCH_MILLIS).await? {
        Watched::HistoryGone => Ok(false),
        Watched::Changes(page) => {
            let news = loader.mirror.borrow_mut().apply(page.items, page.at);
            take(loader, news);
            Ok(true)
        }
    }
}

fn take(loader: &Loader, news: Changes) {
    for item in news {
        take_item(loader, &item);
    }
}

fn take_item(loader: &Loader, item: &Item) {
    if item.value.is_none() {
        if let Subject::Engine(id) = loader.dialect.subject(&item.key) {
            loader.fleet.borrow_mut().unlist(&id);
        }
        return;
    }
    match loader.items.read(item) {
        Some(Fact::Configuration(configuration)) => {
            *loader.configuration.borrow_mut() = Some(*configuration);
        }
        Some(Fact::Engine(record)) => {
            loader.fleet.borrow_mut().list(*record, item.revision);
        }
        // Gateways that send requests here tell when the bound began; without any of them nothing starts.
        Some(Fact::Weights(named)) => loader.note_named(&named, 0),
        Some(Fact::Other) | None => {}
    }
}
