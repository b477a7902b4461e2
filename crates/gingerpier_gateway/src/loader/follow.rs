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
        mirror::{Changes, Item},
    },
    std::rc::Rc,
};

/// Milliseconds that a watch waits.
const WATCH_MILLIS: u64 = 20_000;

/// Milliseconds after a failed call.
const RETRY_MILLIS: u64 = 500;

/// Follows what operators write.
pub async fn follow(loader: Rc<Loader>) {
    let mut client = Client::new(loader.settings.store);
    let mut in_step = false;
    loop {
        let step = if in_step {
            watch(&loader, &mut client).await
        } else {
            refresh_with(&loader, &mut client, false)
                .await
                .map(|()| true)
        };
        match step {
            Ok(next) => in_step = next,
            Err(error) => {
                in_step = false;
                tracing::warn!(cause = %error, "store does not answer");
                clock::pause(RETRY_MILLIS + fastrand::u64(..RETRY_MILLIS)).await;
            }
        }
    }
}

/// Reads engines anew; an old answer will do.
pub async fn refresh(loader: &Loader) {
    let mut client = Client::new(loader.settings.store);
    if let Err(error) = refresh_with(loader, &mut client, true).await {
        tracing::warn!(cause = %error, "engines not read anew");
    }
}

async fn refresh_with(loader: &Loader, client: &mut Client, stale: bool) -> Result<(), Error> {
    let copy = store::read_all(client, loader.dialect, stale).await?;
    let news = loader.mirror.borrow_mut().replace(copy.items, copy.at);
    take(loader, news);
    Ok(())
}

async fn watch(loader: &Loader, client: &mut Client) -> Result<bool, Error> {
    let after = loader.mirror.borrow().at();
    let dialect = loader.dialect;
    match store::watch(client, dialect, Scope::Operators, after, WATCH_MILLIS).await? {
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
    let Some(value) = &item.value else {
        if let Subject::Engine(id) = loader.dialect.subject(&item.key) {
            loader.fleet.borrow_mut().unlist(&id);
        }
        return;
    };
    match loader.dialect.fact(&item.key, value) {
        Ok(Fact::Configuration(configuration)) => {
            *loader.configuration.borrow_mut() = Some(*configuration);
        }
        Ok(Fact::Engine(record)) => {
            loader.fleet.borrow_mut().list(*record);
        }
        Ok(Fact::Weights(named)) => loader.note_named(&named),
        Ok(Fact::Other) => {}
        Err(error) => {
            let revision = item.revision.0;
            tracing::error!(key = item.key, revision, cause = %error, "item not understood");
        }
    }
}
